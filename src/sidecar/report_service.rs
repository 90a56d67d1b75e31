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

/// Accounts reported per interval, which bounds the bytes sent. The next interval continues
/// with the remaining accounts.
const MAX_REPORT_ENTRIES: usize = 64;

/// Reports each account's service to its aggregator, the router that sums the account's
/// service over the fleet.
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
            let entries = table
                .dispatcher
                .report(sidecar.node.now(), MAX_REPORT_ENTRIES);
            (entries, table.dispatcher.ledger().floor())
        };
        for (_, (aggregator, entries)) in group_by_aggregator(&sidecar, &dials, entries) {
            if let Some(link) = sidecar.link() {
                let report = ControlMessage::Report {
                    sequence,
                    floor,
                    entries,
                };
                link.send(&aggregator, report);
            }
        }
    }
}

type Batches = BTreeMap<String, (Arc<Peer>, Vec<ReportEntry>)>; // by the aggregator's host

fn group_by_aggregator(
    sidecar: &Sidecar,
    dials: &DialSet<Sidecar>,
    entries: Vec<ReportEntry>,
) -> Batches {
    let mut batches = Batches::new();
    for entry in entries {
        if let Some(aggregator) = find_aggregator(sidecar, dials, &entry) {
            batches
                .entry(aggregator.name.host.clone())
                .or_insert_with(|| (aggregator, Vec::new()))
                .1
                .push(entry);
        }
    }
    batches
}

/// The account's aggregator: the first connected router in the account's rendezvous order.
/// Preceding ones are dialed, so that all sidecars soon agree on the aggregator again.
fn find_aggregator(
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
