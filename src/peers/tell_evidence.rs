//! Telling and hearing of how replicas work, in the own zone.

use {
    super::{EvidenceTold, PeerLink, PeerMessage, peer_link::router_name},
    crate::policy::{Moment, placement::ReplicaEvidence},
    std::{net::SocketAddr, time::Duration},
};

/// Replicas in one datagram: up to 21 bytes each.
const REPLICAS: usize = 40;

/// The shortest time between two such datagrams of one router.
const TOLD_AGAIN: Duration = Duration::from_millis(250);

/// What was told of how replicas work, and when.
#[derive(Default)]
pub(super) struct EvidenceTurn {
    told: Option<Moment>,
    next: usize, // of the replicas, whose turn it is
}

impl PeerLink {
    /// Tells the routers of the own zone what this one has seen; where that does not fit
    /// one datagram, some replicas at a time, in turn.
    pub(super) async fn send_evidence(
        &self,
        now: Moment,
        addresses: &[SocketAddr],
    ) {
        let replicas = self.due_evidence(now);
        if replicas.is_empty() || addresses.is_empty() {
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
    ) -> Vec<ReplicaEvidence> {
        let turn = &mut self.told.lock().expect("told lock").evidence;
        let is_early = |at: Moment| now.saturating_sub(at) < TOLD_AGAIN;
        if turn.told.is_some_and(is_early) {
            return Vec::new();
        }
        turn.told = Some(now);
        let seen = self.gateway.board().evidence(now);
        let begin = turn.next % seen.len().max(1);
        turn.next = begin + REPLICAS;
        let round = seen.iter().cycle().skip(begin);
        round.take(REPLICAS.min(seen.len())).copied().collect()
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
        gateway.board().hear_evidence(now, teller, &told.replicas);
    }
}
