use {
    super::sidecar::Sidecar,
    crate::{
        fleet::HostRole,
        keys::PeerName,
        link::{DialSet, DialTarget, Peer},
        policy::{ReportEntry, rendezvous},
        wire::ControlMessage,
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// Accounts in one interval's reports, so that their bytes stay bounded; the
/// next interval goes on with the others.
const REPORT_BOUND: usize = 64;

/// Reports service to each account's keeper.
pub async fn report_service(
    sidecar: Arc<Sidecar>,
    dials: Arc<DialSet<Sidecar>>,
) {
    let mut ticks = tokio::time::interval(sidecar.settings.report_interval);
    let mut sequence = 0;
    loop {
        ticks.tick().await;
        sequence += 1;
        let (entries, floor) = {
            let mut table = sidecar.table.lock().expect("table lock");
            let entries = table.dispatcher.report(sidecar.node.now(), REPORT_BOUND);
            (entries, table.dispatcher.ledger().floor())
        };
        for (_, (keeper, entries)) in by_keeper(&sidecar, &dials, entries) {
            if let Some(link) = sidecar.link() {
                let report = ControlMessage::Report {
                    sequence,
                    floor,
                    entries,
                };
                link.send(&keeper, report);
            }
        }
    }
}

type Batches = BTreeMap<String, (Arc<Peer>, Vec<ReportEntry>)>; // by keeper's host

fn by_keeper(
    sidecar: &Sidecar,
    dials: &DialSet<Sidecar>,
    entries: Vec<ReportEntry>,
) -> Batches {
    let mut batches = Batches::new();
    for entry in entries {
        if let Some(keeper) = keeper(sidecar, dials, &entry) {
            batches
                .entry(keeper.name.host.clone())
                .or_insert_with(|| (keeper, Vec::new()))
                .1
                .push(entry);
        }
    }
    batches
}

/// The first router in the account's rendezvous order that can be reached.
/// One that cannot is dialled, so that all sidecars agree again soon.
fn keeper(
    sidecar: &Sidecar,
    dials: &DialSet<Sidecar>,
    entry: &ReportEntry,
) -> Option<Arc<Peer>> {
    let hosts = sidecar.node.hosts.current();
    let live = hosts.live(HostRole::Router).map(|host| host.name.as_str());
    let link = sidecar.link()?;
    for host in rendezvous(&entry.account.to_string(), live) {
        if sidecar.node.is_peer_leaving(host) {
            continue;
        }
        if let Some(peer) = link.peer(host) {
            return Some(peer);
        }
        if let Some(listed) = hosts.find(host) {
            dials.add(DialTarget {
                name: PeerName::new(host, HostRole::Router),
                address: listed.link,
            });
        }
    }
    None
}
