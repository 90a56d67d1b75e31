use {
    super::router::Router,
    crate::{
        fleet::{HostList, HostRole},
        keys::PeerName,
        link::{DialSet, DialTarget},
        ops::SUSPENSIONS,
        policy::{SidecarSubset, SuspensionDetector},
        wire::ControlMessage,
    },
    std::{sync::Arc, time::Duration},
};

/// How often expired requests are removed and the number of connected sidecars adapted.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(20);

/// How often the fleet totals of idle accounts are dropped.
const IDLE_ACCOUNT_SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// How often what callers take is reported.
const CALLER_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Expires waiting requests, keeps the right sidecars connected, drops idle accounts, and
/// recovers after the process was suspended.
pub async fn run_housekeeping(
    router: Arc<Router>,
    dials: Arc<DialSet<Router>>,
) {
    let mut suspensions =
        SuspensionDetector::new(router.settings.process.pause_limit, router.node.now());
    let mut subset = SidecarSubset::new(router.settings.initial_sidecars);
    let mut lists = router.node.hosts.subscribe();
    let mut last_sweep = router.node.now();
    let mut last_report = last_sweep;
    let mut ticks = tokio::time::interval(HOUSEKEEPING_INTERVAL);
    loop {
        ticks.tick().await;
        let now = router.node.now();
        if let Some(suspended_for) = suspensions.tick(now) {
            recover_from_suspension(&router, suspended_for);
        }
        let oldest_wait = {
            let mut waiting = router.waiting.lock().expect("waiting lock");
            let shed = waiting.queue.shed_overdue(now);
            waiting.reject(shed);
            waiting.queue.oldest_wait(now)
        };
        let hosts = router.node.hosts.current();
        let sidecar_count = hosts.live(HostRole::Sidecar).count();
        let has_grown = subset.grow_if_waiting(now, oldest_wait, sidecar_count);
        if has_grown || lists.has_changed().unwrap_or(false) {
            lists.borrow_and_update();
            dials.set(dial_targets(&router, &hosts, &subset));
        }
        if now.saturating_sub(last_report) > CALLER_REPORT_INTERVAL {
            last_report = now;
            router.callers.report();
        }
        if now.saturating_sub(last_sweep) > IDLE_ACCOUNT_SWEEP_INTERVAL {
            last_sweep = now;
            router
                .aggregator
                .lock()
                .expect("aggregator lock")
                .remove_idle(now);
        }
    }
}

/// Notifies all peers whenever a new configuration comes into force.
pub async fn announce_config_changes(router: Arc<Router>) {
    let mut configs = router.node.config.subscribe();
    while configs.changed().await.is_ok() {
        if let Some(link) = router.link() {
            link.send_to_all(&ControlMessage::NewRevision);
        }
    }
}

/// The sidecars to stay connected to. A leaving sidecar is not among them: the requests
/// that run on it use the connection that is already open.
fn dial_targets(
    router: &Router,
    hosts: &HostList,
    subset: &SidecarSubset,
) -> Vec<DialTarget> {
    let sidecars: Vec<(String, String)> = hosts
        .live(HostRole::Sidecar)
        .map(|host| (host.name.clone(), host.zone.clone()))
        .collect();
    subset
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

/// Drops what the router knew of its sidecars after the process was suspended: slots may
/// no longer be free, and announced demand may have been dropped. Grants that arrived
/// meanwhile need no check here: each sidecar rejects its own expired grants.
fn recover_from_suspension(
    router: &Router,
    suspended_for: Duration,
) {
    metrics::counter!(SUSPENSIONS).increment(1);
    let detail = format!(
        "stood still for {} ms; views dropped",
        suspended_for.as_millis()
    );
    router.node.audit.record("paused", None, None, detail);
    {
        let mut sidecars = router.sidecars.lock().expect("sidecar lock");
        for view in sidecars.values_mut() {
            view.free_slots = 0;
            view.announced.clear();
        }
    }
    router.demand_changed.notify_one();
}
