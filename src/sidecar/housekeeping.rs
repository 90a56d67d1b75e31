use {
    super::sidecar::Sidecar,
    crate::{
        fleet::{HostList, HostRole, HostState},
        keys::PeerName,
        link::{DialSet, DialTarget},
        node::PEERS_ASKED,
        ops::{GRANTS, PAUSES},
        policy::{SuspensionDetector, rendezvous},
        wire::ControlMessage,
    },
    std::{sync::Arc, time::Duration},
};

/// How often expired grants are voided and free slots told.
const TICK: Duration = Duration::from_millis(20);

/// Keeps the tables true as time passes.
pub async fn keep_house(sidecar: Arc<Sidecar>) {
    let mut pauses =
        SuspensionDetector::new(sidecar.settings.process.pause_limit, sidecar.node.now());
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        let now = sidecar.node.now();
        if let Some(pause) = pauses.tick(now) {
            recover_from_pause(&sidecar, pause);
        }
        let expired = {
            let mut table = sidecar.table.lock().expect("table lock");
            table.dispatcher.expire(now)
        };
        if expired > 0 {
            metrics::counter!(GRANTS, "outcome" => "expired").increment(expired as u64);
        }
        sidecar.pump();
        tell_room(&sidecar);
    }
}

/// Leaves when the platform says that this host does. Dials a few routers at
/// the start, to ask them for the newest configuration: those that knew an
/// earlier life of this process notice its end late.
pub async fn follow_hosts(
    sidecar: Arc<Sidecar>,
    dials: Arc<DialSet<Sidecar>>,
) {
    let mut lists = sidecar.node.hosts.subscribe();
    loop {
        let hosts = lists.borrow_and_update().1.clone();
        let own = hosts.find(&sidecar.node.host);
        if own.is_some_and(|host| host.state == HostState::Leaving) {
            sidecar.leave_for_good().await;
        }
        if !sidecar.node.readiness.has_asked() {
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
        .take(PEERS_ASKED)
    {
        if let Some(listed) = hosts.find(host) {
            dials.add(DialTarget {
                name: PeerName::new(host, HostRole::Router),
                address: listed.link,
            });
        }
    }
}

/// Takes over shares when a configuration comes into force, and tells peers.
pub async fn follow_config(sidecar: Arc<Sidecar>) {
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

fn recover_from_pause(
    sidecar: &Sidecar,
    pause: Duration,
) {
    metrics::counter!(PAUSES).increment(1);
    let detail = format!("stood still for {} ms; grants void", pause.as_millis());
    sidecar.node.audit.record("paused", None, None, detail);
    {
        let mut table = sidecar.table.lock().expect("table lock");
        table.dispatcher.discard_stale_state(sidecar.node.now());
    }
    if let Some(link) = sidecar.link() {
        for router in link.peers(HostRole::Router) {
            link.send(&router, ControlMessage::AskDemand);
        }
    }
}

/// Tells routers how many slots are free for offers, when that has changed so
/// much that they would act otherwise.
fn tell_room(sidecar: &Sidecar) {
    let free = {
        let mut table = sidecar.table.lock().expect("table lock");
        let free = table.dispatcher.free_for_offers(sidecar.node.now());
        if !worth_telling(table.room_told, free) {
            return;
        }
        table.room_told = free;
        free
    };
    if let Some(link) = sidecar.link() {
        for router in link.peers(HostRole::Router) {
            link.send(&router, ControlMessage::Room { free });
        }
    }
}

fn worth_telling(
    told: u32,
    free: u32,
) -> bool {
    (told == 0) != (free == 0) || free > told.saturating_mul(2) || free < told / 2
}
