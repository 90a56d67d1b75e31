//! Telling and hearing of how replicas work, in the own zone.

use {
    super::{EvidenceTold, PeerLink, PeerMessage, peer_link::router_name},
    crate::policy::{Moment, placement::ReplicaEvidence},
    std::net::SocketAddr,
};

impl PeerLink {
    /// Tells the routers of the own zone what this one has seen, in one datagram.
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
        let told = EvidenceTold {
            zone: own.zone,
            teller: own.address,
            replicas,
        };
        self.send(&PeerMessage::Evidence(told), addresses).await;
    }

    fn due_evidence(
        &self,
        now: Moment,
        routers: usize,
    ) -> Vec<ReplicaEvidence> {
        let mut told = self.told.lock().expect("told lock");
        if !told.evidence.is_due(now, routers) {
            return Vec::new();
        }
        drop(told);
        let seen = self.gateway.replica_table().evidence(now);
        told = self.told.lock().expect("told lock");
        told.evidence.take(now, seen)
    }

    /// Takes in what a router of the own zone has seen.
    pub(super) fn take_evidence(
        &self,
        from: SocketAddr,
        told: &EvidenceTold,
    ) {
        let gateway = &self.gateway;
        if from != told.teller || told.zone != gateway.peers.own().zone {
            return;
        }
        let now = gateway.now();
        let teller = router_name(&told.teller);
        gateway
            .replica_table()
            .hear_evidence(now, teller, &told.replicas);
    }
}
