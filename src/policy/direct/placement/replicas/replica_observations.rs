use {
    super::PaceObservations,
    crate::policy::{
        Moment,
        placement::{PauseEvidence, ReplicaEvidence},
    },
    std::{collections::HashMap, time::Duration},
};

/// Time constant of the decay of pause evidence: some cycles of a replica's load.
const PAUSE_DECAY: Duration = Duration::from_secs(10);

/// Age at which pause evidence of peers is dropped.
const PEER_EVIDENCE_TTL: Duration = Duration::from_secs(3);

/// Performance of one incarnation of a replica as observed by the routers of the zone.
#[derive(Debug, Default)]
pub struct ReplicaObservations {
    pub pace: PaceObservations,
    pauses: PauseEvidence, // of this router, decayed until `pauses_updated`
    pauses_updated: Moment,
    peers: HashMap<u32, (Moment, PauseEvidence)>, // time received and evidence, by router
}

impl ReplicaObservations {
    /// Adds pauses that this router observed.
    pub fn record_pauses(
        &mut self,
        now: Moment,
        pauses: PauseEvidence,
    ) {
        self.pauses = self.own_pauses(now);
        self.pauses += pauses;
        self.pauses_updated = now;
    }

    /// Evidence of this router alone on the replica's incarnation with this start hash, to be
    /// sent to the zone's routers.
    pub fn own(
        &self,
        now: Moment,
        start_hash: u32,
    ) -> ReplicaEvidence {
        ReplicaEvidence {
            start_hash,
            pace: self.pace.own(now),
            pauses: self.own_pauses(now),
        }
    }

    /// Replaces the evidence of a peer.
    pub fn apply_peer_evidence(
        &mut self,
        now: Moment,
        peer: u32,
        evidence: ReplicaEvidence,
    ) {
        self.pace.apply_peer_evidence(now, peer, evidence.pace);
        self.peers.insert(peer, (now, evidence.pauses));
        self.peers
            .retain(|_, (received, _)| now.saturating_sub(*received) <= PEER_EVIDENCE_TTL);
    }

    /// Pause evidence of all routers of the zone.
    pub fn pauses(
        &self,
        now: Moment,
    ) -> PauseEvidence {
        let mut sum = self.own_pauses(now);
        for (age, evidence) in self.recent_peers(now) {
            sum += evidence.decayed(age, PAUSE_DECAY);
        }
        sum
    }

    fn recent_peers(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (Duration, PauseEvidence)> {
        let peers = self.peers.values();
        let aged =
            peers.map(move |(received, evidence)| (now.saturating_sub(*received), *evidence));
        aged.filter(|(age, _)| *age <= PEER_EVIDENCE_TTL)
    }

    fn own_pauses(
        &self,
        now: Moment,
    ) -> PauseEvidence {
        let age = now.saturating_sub(self.pauses_updated);
        self.pauses.decayed(age, PAUSE_DECAY)
    }
}
