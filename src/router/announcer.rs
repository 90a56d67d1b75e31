use {
    super::router::Router,
    crate::{
        fleet::AccountId,
        policy::{CurrentDemand, RequestQueue},
        wire::ControlMessage,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Without a change, what was held back by its pace is looked for this often.
const IDLE_INTERVAL: Duration = Duration::from_millis(25);

/// Tells sidecars what waits for them: at once after a change, then paced.
pub async fn announce_demand(router: Arc<Router>) {
    loop {
        let changed = router.demand_changed.notified();
        // An idle interval is no fault: what was held back is told then.
        let _idle = tokio::time::timeout(IDLE_INTERVAL, changed).await;
        announce(&router);
        tokio::time::sleep(router.settings.demand_interval).await;
    }
}

fn announce(router: &Router) {
    let Some(link) = router.link() else { return };
    let now = router.node.now();
    let cap = router.settings.demand_cap;
    let budget = router.settings.demand_budget as f64;
    let mut messages = Vec::new();
    {
        let waiting = router.waiting.lock().expect("waiting lock");
        let mut sidecars = router.sidecars.lock().expect("sidecar lock");
        let told = sidecars.len() as f64;
        for (host, view) in sidecars.iter_mut().filter(|(_, view)| !view.leaving) {
            let current = demand_for(&waiting.room, host);
            let lines = view
                .announced
                .take_due_lines(now, cap, budget / told, &current);
            if !lines.is_empty() {
                messages.push((
                    host.clone(),
                    ControlMessage::Demand {
                        seen: view.seen,
                        lines,
                    },
                ));
            }
        }
    }
    for (host, message) in messages {
        if let Some(peer) = link.peer(&host) {
            link.send(&peer, message);
        }
    }
}

fn demand_for(
    room: &RequestQueue,
    host: &str,
) -> BTreeMap<AccountId, CurrentDemand> {
    room.queues()
        .filter_map(|(account, queue)| {
            let demand = queue.demand_for(host)?;
            Some((account, demand))
        })
        .collect()
}
