use {
    super::router::Router,
    crate::{
        fleet::{HostList, HostRole},
        keys::PeerName,
        link::{DialSet, DialTarget},
        ops::PAUSES,
        policy::{SidecarSubset, SuspensionDetector},
        wire::ControlMessage,
    },
    std::{sync::Arc, time::Duration},
};

/// How often patience and reach are looked at.
const TICK: Duration = Duration::from_millis(20);

/// How often idle accounts are forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// Keeps the tables true as time passes, and the right sidecars connected.
pub async fn keep_house(
    router: Arc<Router>,
    dials: Arc<DialSet<Router>>,
) {
    let mut pauses =
        SuspensionDetector::new(router.settings.process.pause_limit, router.node.now());
    let mut reach = SidecarSubset::new(router.settings.reach);
    let mut lists = router.node.hosts.subscribe();
    let mut forgotten = router.node.now();
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        let now = router.node.now();
        if let Some(pause) = pauses.tick(now) {
            recover_from_pause(&router, pause);
        }
        let oldest_wait = {
            let mut waiting = router.waiting.lock().expect("waiting lock");
            let given_up = waiting.room.shed_overdue(now);
            waiting.tell_shed(given_up);
            waiting.room.oldest_wait(now)
        };
        let hosts = router.node.hosts.current();
        let known = hosts.live(HostRole::Sidecar).count();
        let widened = reach.grow_if_waiting(now, oldest_wait, known);
        if widened || lists.has_changed().unwrap_or(false) {
            lists.borrow_and_update();
            dials.set(dial_targets(&router, &hosts, &reach));
        }
        if now.saturating_sub(forgotten) > FORGET_INTERVAL {
            forgotten = now;
            router.keeper.lock().expect("keeper lock").remove_idle(now);
        }
    }
}

/// Tells peers when a configuration comes into force.
pub async fn follow_config(router: Arc<Router>) {
    let mut configs = router.node.config.subscribe();
    while configs.changed().await.is_ok() {
        if let Some(link) = router.link() {
            link.send_to_all(&ControlMessage::NewRevision);
        }
    }
}

/// The sidecars to stay connected to. A leaving one is still wanted by the
/// requests that run on it, but that connection stands already.
fn dial_targets(
    router: &Router,
    hosts: &HostList,
    reach: &SidecarSubset,
) -> Vec<DialTarget> {
    let sidecars: Vec<(String, String)> = hosts
        .live(HostRole::Sidecar)
        .map(|host| (host.name.clone(), host.zone.clone()))
        .collect();
    reach
        .select(&router.node.host, &router.node.zone, &sidecars)
        .into_iter()
        .filter_map(|host| {
            Some(DialTarget {
                name: PeerName::new(host, HostRole::Sidecar),
                address: hosts.find(host)?.link,
            })
        })
        .collect()
}

/// After a pause, what was known of sidecars may be old: slots are not free,
/// announcements forgotten. Grants that arrived meanwhile are judged by their
/// sidecars, which know when they expire.
fn recover_from_pause(
    router: &Router,
    pause: Duration,
) {
    metrics::counter!(PAUSES).increment(1);
    let detail = format!("stood still for {} ms; views dropped", pause.as_millis());
    router.node.audit.record("paused", None, None, detail);
    {
        let mut sidecars = router.sidecars.lock().expect("sidecar lock");
        for view in sidecars.values_mut() {
            view.free = 0;
            view.announced.clear();
        }
    }
    router.demand_changed.notify_one();
}
