//! Receives and applies the datagrams of other routers.

use {
    super::{
        PeerLink, PeerMessage, ReportBody, RouterContact, RouterReport, ZoneSummary,
        peer_link::router_hash,
    },
    crate::{
        catalog::CatalogVersion,
        ops::MESSAGES_REFUSED,
        policy::{Moment, Reporter, ReporterScope, mix_hashes, stable_hash, suspects::SuspectKind},
        wire::decode_payload,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Size of the receive buffer; the rest of a longer datagram is lost.
const MAX_DATAGRAM_BYTES: usize = 4096;

/// Pause after a failed read of the socket.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Routers of each other zone in the answer to a discovery request.
const CONTACTS_PER_ZONE: usize = 4;

/// Routers in one datagram of such an answer, at some 11 bytes each.
const MAX_CONTACTS: usize = 100;

/// Routers that were silent for longer are left out of such an answer.
const MAX_CONTACT_AGE: Duration = Duration::from_secs(3);

impl PeerLink {
    /// Receives datagrams until the process exits.
    pub(super) async fn receive(self: Arc<Self>) {
        let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut datagram).await {
                Ok((length, from)) => self.handle_datagram(&datagram[..length], from).await,
                Err(error) => {
                    log::debug!("cannot read datagrams of other routers: {error}");
                    tokio::time::sleep(READ_RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn handle_datagram(
        &self,
        datagram: &[u8],
        from: SocketAddr,
    ) {
        match decode_payload(datagram) {
            Ok(PeerMessage::Report(report)) => self.apply_report(from, &report),
            Ok(PeerMessage::Summary(summary)) => {
                if self.apply_summary(&summary) && from == summary.representative {
                    self.relay(datagram).await;
                }
            }
            Ok(PeerMessage::Suspects(message)) => {
                if self.apply_suspects(from, SuspectKind::Request, &message) {
                    self.relay(datagram).await;
                }
            }
            Ok(PeerMessage::SuspectTrials(message)) => {
                if self.apply_trials(from, &message) {
                    self.relay(datagram).await;
                }
            }
            Ok(PeerMessage::SuspectParts(message)) => {
                if self.apply_suspects(from, SuspectKind::Part, &message) {
                    self.relay(datagram).await;
                }
            }
            Ok(PeerMessage::Leaving(message)) => self.apply_leaving(from, &message),
            Ok(PeerMessage::Evidence(message)) => self.apply_evidence(from, &message),
            Ok(PeerMessage::CacheEvents(message)) => {
                if self.apply_cache_events(from, &message) {
                    self.relay(datagram).await;
                }
            }
            Ok(PeerMessage::Eras(message)) => {
                if self.apply_eras(from, message) {
                    self.relay(datagram).await;
                }
            }
            Ok(PeerMessage::StreamOrigins(message)) => {
                self.apply_stream_origins(from, message).await
            }
            Ok(PeerMessage::StreamQuery(query)) => self.answer_stream_query(from, query).await,
            Ok(PeerMessage::StreamAnswer(answer)) => self.apply_stream_answer(from, &answer),
            Ok(PeerMessage::Ask(asker)) => self.answer_discovery(from, asker).await,
            Ok(PeerMessage::Names(contacts)) => {
                self.gateway
                    .peers
                    .add_contacts(self.gateway.now(), &contacts);
            }
            Err(error) => {
                let code = error.code.number();
                metrics::counter!(MESSAGES_REFUSED, "code" => code.to_string()).increment(1);
                log::debug!(code = code, from = from.to_string().as_str(); "datagram refused: {error}");
            }
        }
    }

    /// Passes a datagram of another zone on to the routers of the own zone.
    async fn relay(
        &self,
        datagram: &[u8],
    ) {
        let zone_routers = self.gateway.peers.own_zone_addresses();
        self.send_datagram(datagram, "relay", &zone_routers).await;
    }

    /// Applies the report of a router of the own zone, unless the datagram came from another
    /// address than the one it names.
    fn apply_report(
        &self,
        from: SocketAddr,
        report: &RouterReport,
    ) {
        let gateway = &self.gateway;
        let now = gateway.now();
        let is_own_zone = report.zone == gateway.peers.own().zone;
        let max_age = gateway.replica_table().max_report_age();
        if from != report.address
            || !is_own_zone
            || !gateway.peers.apply_report(now, report, max_age)
        {
            return;
        }
        let reporter = Reporter {
            scope: ReporterScope::Router,
            name: router_hash(&report.address),
            source_id: report.incarnation,
        };
        self.apply_version(report.version);
        self.apply_body(now, reporter, &report.body);
    }

    /// Applies the summary of another zone. False if it is of the own zone or was received
    /// before.
    fn apply_summary(
        &self,
        summary: &ZoneSummary,
    ) -> bool {
        let gateway = &self.gateway;
        let now = gateway.now();
        if summary.zone == gateway.peers.own().zone || !self.zones().apply_summary(now, summary) {
            return false;
        }
        let contact = |address: &SocketAddr| RouterContact {
            address: *address,
            zone: summary.zone,
        };
        gateway
            .peers
            .record_contact(now, contact(&summary.representative));
        for member in &summary.members {
            gateway.peers.record_contact(now, contact(member));
        }
        let reporter = Reporter {
            scope: ReporterScope::Zone,
            name: summary.zone,
            source_id: mix_hashes(stable_hash(&summary.representative), summary.incarnation),
        };
        self.apply_version(summary.version);
        self.apply_body(now, reporter, &summary.body);
        true
    }

    /// Wakes the catch-up task if the catalog of another router or zone is newer; otherwise
    /// confirms that this router's catalog is current.
    fn apply_version(
        &self,
        peer_version: CatalogVersion,
    ) {
        if peer_version.is_ahead_of(self.gateway.catalog.version()) {
            self.newer_version.notify_one();
        } else {
            self.gateway.confirm_state();
        }
    }

    fn apply_body(
        &self,
        now: Moment,
        reporter: Reporter,
        body: &ReportBody,
    ) {
        let mut replica_table = self.gateway.replica_table();
        replica_table.apply_reports(now, reporter, &body.replicas);
        replica_table.apply_placements(now, reporter.scope, &body.placements);
        replica_table.apply_latency_reports(&body.latency_reports);
        drop(replica_table);
        self.gateway
            .shares()
            .apply_report(now, reporter, &body.accounts);
    }

    /// Sends the known routers to a router that looks for others.
    async fn answer_discovery(
        &self,
        from: SocketAddr,
        asker: RouterContact,
    ) {
        if from != asker.address {
            return;
        }
        let now = self.gateway.now();
        let peers = &self.gateway.peers;
        peers.record_contact(now, asker);
        let contacts = peers.contacts(now, MAX_CONTACT_AGE, asker.zone, CONTACTS_PER_ZONE);
        for part in contacts.chunks(MAX_CONTACTS) {
            self.send(&PeerMessage::Names(part.to_vec()), &[from]).await;
        }
    }
}
