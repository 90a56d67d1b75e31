use {
    super::router::Router,
    crate::{
        fleet::AccountId,
        policy::{CurrentDemand, RequestQueue},
        wire::ControlMessage,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// How often demand that the announcement budget deferred is reconsidered when nothing
/// changes.
const DEFERRED_DEMAND_INTERVAL: Duration = Duration::from_millis(25);

/// Announces the waiting requests to the sidecars that may serve them: at once after a
/// change, and at most once per `demand_interval`.
pub async fn announce_demand(router: Arc<Router>) {
    loop {
        let changed = router.demand_changed.notified();
        // A time-out is expected: deferred demand is announced then.
        let _timed_out = tokio::time::timeout(DEFERRED_DEMAND_INTERVAL, changed).await;
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
        let sidecar_count = sidecars.len() as f64;
        for (host, view) in sidecars.iter_mut().filter(|(_, view)| !view.leaving) {
            let current = demand_for(&waiting.queue, host);
            let lines = view
                .announced
                .take_due_lines(now, cap, budget / sidecar_count, &current);
            if !lines.is_empty() {
                messages.push((
                    host.clone(),
                    ControlMessage::Demand {
                        newest_grant: view.newest_grant,
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
    waiting: &RequestQueue,
    host: &str,
) -> BTreeMap<AccountId, CurrentDemand> {
    waiting
        .queues()
        .filter_map(|(account, queue)| {
            let demand = queue.demand_for(host)?;
            Some((account, demand))
        })
        .collect()
}
