//! Sends this router's state to the other routers.

use {
    super::{
        PeerLink, PeerMessage, ReportBody, RouterReport, SentReports, ZoneSummary,
        peer_link::{PEER_SILENCE_LIMIT, router_hash},
    },
    crate::{
        ops::PEERS,
        policy::{
            Moment,
            placement::{FleetSize, PartPlacement},
            suspects::SuspectTracker,
        },
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Shortest time between two reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(10);

/// Limit on the regular reports of one router to all others together. In larger zones each
/// router is sent to less often.
const MAX_DATAGRAMS_PER_SECOND: f64 = 200.0;

/// The same limit for reports that are sent early, on request or after a catalog change.
const MAX_URGENT_DATAGRAMS_PER_SECOND: f64 = 400.0;

/// Unchanged entries of a report are sent again after this fraction of the age at which they expire.
const REFRESH_FRACTION: f32 = 0.5;

/// Routers of its zone that a summary names, round robin.
const MAX_MEMBERS: usize = 4;

/// Routers of another zone that a summary is sent to while that zone's representative is
/// unknown.
const MAX_ZONE_CONTACTS: usize = 3;

impl PeerLink {
    /// Sends reports at the report interval, and earlier on request or when the catalog
    /// changes.
    pub(super) async fn send_regularly(self: Arc<Self>) {
        let mut changes = self.gateway.catalog.subscribe();
        loop {
            let now = self.gateway.now();
            let settings = self.gateway.settings();
            let peers = &self.gateway.peers;
            for address in peers.remove_silent(now, settings.peer_retention) {
                log::info!(peer = address.to_string().as_str(); "silent router removed");
                self.gateway.shares().remove_reporter(router_hash(&address));
            }
            metrics::gauge!(PEERS).set(peers.live_count(now, settings.peer_retention) as f64);
            let addresses = peers.own_zone_addresses();
            self.send_reports(now, &addresses).await;
            self.send_suspects(now, &addresses).await;
            self.send_leaving(now, &addresses).await;
            self.send_eras(now, &addresses).await;
            self.send_evidence(now, &addresses).await;
            self.send_cache_events(now, &addresses).await;
            self.update_stream_origins(now).await;
            let summaries = self.send_summaries(now).await;
            let datagrams = (addresses.len() + summaries) as f64;
            let urgent_interval =
                Duration::from_secs_f64(datagrams / MAX_URGENT_DATAGRAMS_PER_SECOND);
            tokio::time::sleep(MIN_REPORT_INTERVAL.max(urgent_interval)).await;
            let paced = Duration::from_secs_f64(addresses.len() as f64 / MAX_DATAGRAMS_PER_SECOND);
            let interval = settings.peer_interval.max(paced);
            self.update_report_interval(interval);
            tokio::select! {
                () = tokio::time::sleep(interval) => {}
                () = self.gateway.early_report.notified() => {}
                _ = changes.changed() => {}
            }
        }
    }

    /// Passes the report interval and the number of routers on to placement and sharing,
    /// which derive from them the age at which reports expire.
    fn update_report_interval(
        &self,
        interval: Duration,
    ) {
        let now = self.gateway.now();
        let removal_age = self.gateway.settings().peer_retention;
        let fleet = FleetSize {
            in_zone: self.gateway.peers.live_count(now, removal_age) + 1,
            total: self.gateway.router_count(),
        };
        let routers = self.gateway.zone_routers(now);
        let mut replica_table = self.gateway.replica_table();
        replica_table.set_reporting(interval, fleet);
        replica_table.set_zone_routers(routers);
        let max_report_age = replica_table.max_report_age();
        drop(replica_table);
        self.gateway.shares().set_peer_age(max_report_age);
    }

    async fn send_reports(
        &self,
        now: Moment,
        addresses: &[SocketAddr],
    ) {
        let gateway = &self.gateway;
        let settings = gateway.settings();
        for body in self.own_body(now).split() {
            let report = RouterReport {
                address: gateway.peers.own().address,
                update_address: self.update_address,
                caller_address: settings.caller_listen,
                zone: gateway.peers.own().zone,
                incarnation: self.incarnation,
                sequence: self.next_sequence(),
                is_leaving: gateway.is_stopping(),
                busy_percent: gateway.processor.busy_percent(),
                millicores: (settings.process.cores * 1000.0) as u16,
                is_store_unavailable: gateway.is_store_unavailable(),
                version: gateway.version_in_use(),
                body,
            };
            self.send(&PeerMessage::Report(report), addresses).await;
        }
    }

    /// Sends the zone's summary to each zone to which this router represents its own, and
    /// returns the number of those zones. A router that shuts down sends none while others
    /// of its zone are live.
    async fn send_summaries(
        &self,
        now: Moment,
    ) -> usize {
        let gateway = &self.gateway;
        let placements = gateway.replica_table().take_zone_placements();
        let represented = self.represented_zones(now);
        let suspects = self.take_zone_suspects(now, !represented.is_empty());
        let trials = self.take_trials(now, SuspectTracker::take_zone_trials);
        let mut sent = std::mem::take(&mut self.sent.lock().expect("sent lock").summaries);
        sent.retain(|zone, _| represented.contains(zone));
        if !represented.is_empty() {
            let all = self.zone_body(now, placements);
            for zone in &represented {
                let sent = sent.entry(*zone).or_default();
                let body = self.due_entries(now, sent, all.clone());
                self.send_summary(now, *zone, body).await;
                let contacts = self.zone_contacts(now, *zone);
                for (kind, reports) in &suspects {
                    self.send_suspect_reports(*kind, reports, &contacts).await;
                }
                self.send_trials(&trials, &contacts).await;
            }
        }
        self.sent.lock().expect("sent lock").summaries = sent;
        represented.len()
    }

    /// The zones to which this router represents its own; none while it shuts down and others of
    /// its zone are live.
    fn represented_zones(
        &self,
        now: Moment,
    ) -> Vec<u32> {
        let peers = &self.gateway.peers;
        if self.gateway.is_stopping() && peers.live_count(now, PEER_SILENCE_LIMIT) > 0 {
            return Vec::new();
        }
        let zones = peers.other_zones().into_iter();
        zones
            .filter(|zone| peers.represents_zone_to(now, PEER_SILENCE_LIMIT, *zone))
            .collect()
    }

    async fn send_summary(
        &self,
        now: Moment,
        zone: u32,
        body: ReportBody,
    ) {
        let gateway = &self.gateway;
        let own = gateway.peers.own();
        let contacts = self.zone_contacts(now, zone);
        let live = gateway.peers.live_addresses(now, PEER_SILENCE_LIMIT);
        for body in body.split() {
            let sequence = self.next_sequence();
            let begin = sequence as usize % live.len().max(1);
            let summary = ZoneSummary {
                zone: own.zone,
                representative: own.address,
                update_address: self.update_address,
                incarnation: self.incarnation,
                sequence,
                routers: live.len() as u32 + 1,
                version: gateway.version_in_use(),
                body,
                members: cyclic_slice(&live, begin, MAX_MEMBERS),
            };
            self.send(&PeerMessage::Summary(summary), &contacts).await;
        }
    }

    /// Where messages for all zones go to which this router represents its own.
    pub(super) fn represented_contacts(
        &self,
        now: Moment,
    ) -> Vec<SocketAddr> {
        let zones = self.represented_zones(now);
        zones
            .into_iter()
            .flat_map(|zone| self.zone_contacts(now, zone))
            .collect()
    }

    /// Where messages for another zone go: to its representative, or to a few random known
    /// routers of it while the representative is unknown.
    pub(super) fn zone_contacts(
        &self,
        now: Moment,
        zone: u32,
    ) -> Vec<SocketAddr> {
        if let Some(representative) = self.zones().representative(now, zone, PEER_SILENCE_LIMIT) {
            return vec![representative];
        }
        let known = self.gateway.peers.addresses_in_zone(zone);
        let begin = rand::random_range(0..known.len().max(1));
        cyclic_slice(&known, begin, MAX_ZONE_CONTACTS)
    }

    /// The entries of this router's own report that are due to be sent to its zone.
    fn own_body(
        &self,
        now: Moment,
    ) -> ReportBody {
        let gateway = &self.gateway;
        let mut replica_table = gateway.replica_table();
        let placements = replica_table.take_placements();
        let replicas = replica_table.reports(now);
        let latency_reports = replica_table.latency_reports();
        drop(replica_table);
        let usage = gateway.shares().own_usage(now).clone();
        let mut sent = self.sent.lock().expect("sent lock");
        let all = ReportBody {
            replicas,
            accounts: usage.into_iter().collect(),
            placements,
            latency_reports,
        };
        self.due_entries(now, &mut sent.own_zone, all)
    }

    /// All entries of the own zone's summary, for other zones.
    fn zone_body(
        &self,
        now: Moment,
        placements: Vec<PartPlacement>,
    ) -> ReportBody {
        let gateway = &self.gateway;
        let replica_table = gateway.replica_table();
        let replicas = replica_table.zone_reports(now);
        let latency_reports = replica_table.latency_reports();
        drop(replica_table);
        let usage = gateway.shares().zone_usage(now);
        ReportBody {
            replicas,
            accounts: usage.into_iter().collect(),
            placements,
            latency_reports,
        }
    }

    /// The entries that changed since they were sent, or are due to be sent again.
    fn due_entries(
        &self,
        now: Moment,
        sent: &mut SentReports,
        all: ReportBody,
    ) -> ReportBody {
        let settings = self.gateway.settings();
        let refresh = settings.peer_age.mul_f32(REFRESH_FRACTION);
        let latency_reports = if sent.latency_reports_due(now, settings.peer_age) {
            all.latency_reports
        } else {
            Vec::new()
        };
        ReportBody {
            replicas: sent.due_replicas(now, refresh, all.replicas),
            accounts: sent.due_accounts(now, refresh, settings.share_window, &all.accounts),
            placements: sent.due_placements(now, settings.peer_age, all.placements),
            latency_reports,
        }
    }
}

/// Up to `count` different routers from the index `begin`, wrapping around at the end.
fn cyclic_slice(
    routers: &[SocketAddr],
    begin: usize,
    count: usize,
) -> Vec<SocketAddr> {
    let cycle = routers.iter().cycle().skip(begin);
    cycle.take(count.min(routers.len())).copied().collect()
}
