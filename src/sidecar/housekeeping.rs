use {
    super::sidecar::Sidecar,
    crate::{
        fleet::{HostList, HostRole, HostState},
        keys::PeerName,
        link::{DialSet, DialTarget},
        node::PEERS_TO_CONFIRM,
        ops::{GRANTS, SUSPENSIONS},
        policy::{SuspensionDetector, rendezvous},
        wire::ControlMessage,
    },
    std::{sync::Arc, time::Duration},
};

/// How often expired grants are voided and free slots announced.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(20);

/// Voids expired grants, announces free slots, and recovers after the process was
/// suspended.
pub async fn run_housekeeping(sidecar: Arc<Sidecar>) {
    let mut suspensions =
        SuspensionDetector::new(sidecar.settings.process.pause_limit, sidecar.node.now());
    let mut ticks = tokio::time::interval(HOUSEKEEPING_INTERVAL);
    loop {
        ticks.tick().await;
        let now = sidecar.node.now();
        if let Some(suspended_for) = suspensions.tick(now) {
            recover_from_suspension(&sidecar, suspended_for);
        }
        let expired = {
            let mut table = sidecar.table.lock().expect("table lock");
            table.dispatcher.expire(now)
        };
        if expired > 0 {
            metrics::counter!(GRANTS, "outcome" => "expired").increment(expired as u64);
        }
        sidecar.dispatch();
        announce_free_slots(&sidecar);
    }
}

/// Starts leaving when the host list marks this host as leaving. Until the configuration
/// is confirmed, dials a few routers to ask for the newest one instead of waiting for them
/// to connect: a router connected to an earlier incarnation notices its end only after a
/// time-out.
pub async fn watch_host_list(
    sidecar: Arc<Sidecar>,
    dials: Arc<DialSet<Sidecar>>,
) {
    let mut lists = sidecar.node.hosts.subscribe();
    loop {
        let hosts = lists.borrow_and_update().1.clone();
        let own = hosts.find(&sidecar.node.host);
        if own.is_some_and(|host| host.state == HostState::Leaving) {
            sidecar.leave_permanently().await;
        }
        if !sidecar.node.readiness.is_confirmed() {
            dial_some_routers(&sidecar, &dials, &hosts);
        }
        if lists.changed().await.is_err() {
            return;
        }
    }
}

fn dial_some_routers(
    sidecar: &Sidecar,
    dials: &DialSet<Sidecar>,
    hosts: &HostList,
) {
    let routers = hosts.live(HostRole::Router).map(|host| host.name.as_str());
    for host in rendezvous(&sidecar.node.host, routers)
        .into_iter()
        .take(PEERS_TO_CONFIRM)
    {
        if let Some(listed) = hosts.find(host) {
            dials.add(DialTarget {
                name: PeerName::new(host, HostRole::Router),
                address: listed.link,
            });
        }
    }
}

/// Applies the accounts' shares whenever a new configuration comes into force, and
/// notifies all peers.
pub async fn apply_config_changes(sidecar: Arc<Sidecar>) {
    let mut configs = sidecar.node.config.subscribe();
    while configs.changed().await.is_ok() {
        let Some(current) = configs.borrow_and_update().clone() else {
            continue;
        };
        let config = &current.config;
        let shares = config
            .accounts
            .iter()
            .zip(&config.shares)
            .map(|(account, share)| (account.id, *share))
            .collect();
        {
            let mut table = sidecar.table.lock().expect("table lock");
            table.dispatcher.set_shares(shares);
        }
        if let Some(link) = sidecar.link() {
            link.send_to_all(&ControlMessage::NewRevision);
        }
    }
}

fn recover_from_suspension(
    sidecar: &Sidecar,
    suspended_for: Duration,
) {
    metrics::counter!(SUSPENSIONS).increment(1);
    let detail = format!(
        "stood still for {} ms; grants void",
        suspended_for.as_millis()
    );
    sidecar.node.audit.record("paused", None, None, detail);
    {
        let mut table = sidecar.table.lock().expect("table lock");
        table.dispatcher.discard_stale_state(sidecar.node.now());
    }
    if let Some(link) = sidecar.link() {
        for router in link.peers(HostRole::Router) {
            link.send(&router, ControlMessage::ResendDemand);
        }
    }
}

/// Announces to the routers how many slots are free for requests without a grant, if the
/// number has changed significantly.
fn announce_free_slots(sidecar: &Sidecar) {
    let free = {
        let mut table = sidecar.table.lock().expect("table lock");
        let free = table.dispatcher.free_for_offers(sidecar.node.now());
        if !is_significant_change(table.announced_free_slots, free) {
            return;
        }
        table.announced_free_slots = free;
        free
    };
    if let Some(link) = sidecar.link() {
        for router in link.peers(HostRole::Router) {
            link.send(&router, ControlMessage::FreeSlots { free });
        }
    }
}

/// Whether the number changed from or to zero, more than doubled, or more than halved.
fn is_significant_change(
    announced: u32,
    free: u32,
) -> bool {
    (announced == 0) != (free == 0) || free > announced.saturating_mul(2) || free < announced / 2
}
