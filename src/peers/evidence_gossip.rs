//! Exchanges observations of replicas' performance within the own zone.

use {
    super::{EvidenceMessage, PeerLink, PeerMessage, peer_link::router_hash},
    crate::policy::{Moment, placement::ReplicaEvidence},
    std::net::SocketAddr,
};

impl PeerLink {
    /// Sends this router's observations to the routers of its zone, in one datagram, when
    /// that is due.
    pub(super) async fn send_evidence(
        &self,
        now: Moment,
        addresses: &[SocketAddr],
    ) {
        let replicas = self.due_evidence(now, addresses.len());
        if replicas.is_empty() {
            return;
        }
        let own = self.gateway.peers.own();
        let message = EvidenceMessage {
            zone: own.zone,
            reporter: own.address,
            replicas,
        };
        self.send(&PeerMessage::Evidence(message), addresses).await;
    }

    fn due_evidence(
        &self,
        now: Moment,
        routers: usize,
    ) -> Vec<ReplicaEvidence> {
        let mut sent = self.sent.lock().expect("sent lock");
        if !sent.evidence.is_due(now, routers) {
            return Vec::new();
        }
        drop(sent);
        let evidence = self.gateway.replica_table().evidence(now);
        sent = self.sent.lock().expect("sent lock");
        sent.evidence.select(now, evidence)
    }

    /// Applies the observations of a router of the own zone. Messages from another address
    /// than their author's are ignored.
    pub(super) fn apply_evidence(
        &self,
        from: SocketAddr,
        message: &EvidenceMessage,
    ) {
        let gateway = &self.gateway;
        if from != message.reporter || message.zone != gateway.peers.own().zone {
            return;
        }
        let now = gateway.now();
        let reporter = router_hash(&message.reporter);
        gateway
            .replica_table()
            .apply_evidence(now, reporter, &message.replicas);
    }
}
