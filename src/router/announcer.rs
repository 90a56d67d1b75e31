use {
    super::router::Router,
    crate::{
        fleet::AccountId,
        policy::{Moment, WaitingRoom},
        wire::ControlMessage,
    },
    std::{collections::BTreeMap, sync::Arc},
};

type Demand = BTreeMap<AccountId, (u32, Moment, Moment)>; // count, deadline, oldest arrival

/// Tells sidecars what waits for them: at once after a change, then paced.
pub async fn announce_demand(router: Arc<Router>) {
    loop {
        router.demand_changed.notified().await;
        announce(&router);
        tokio::time::sleep(router.settings.demand_interval).await;
    }
}

fn announce(router: &Router) {
    let Some(link) = router.link() else { return };
    let now = router.node.now();
    let cap = router.settings.demand_cap;
    let mut messages = Vec::new();
    {
        let waiting = router.waiting.lock().expect("waiting lock");
        let mut sidecars = router.sidecars.lock().expect("sidecar lock");
        for (host, view) in sidecars.iter_mut().filter(|(_, view)| !view.leaving) {
            let current = demand_for(&waiting.room, host);
            let lines = view.announced.changes(now, cap, &current);
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
    room: &WaitingRoom,
    host: &str,
) -> Demand {
    room.queues()
        .filter_map(|(account, queue)| {
            let demand = queue.demand_for(host)?;
            Some((account, (demand.count, demand.deadline, demand.oldest)))
        })
        .collect()
}
