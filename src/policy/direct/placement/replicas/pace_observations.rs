use {
    crate::policy::{
        Moment,
        placement::{BaselinePace, PaceEvidence},
    },
    std::{collections::HashMap, time::Duration},
};

/// Age at which evidence of peers is dropped. It decays before.
const PEER_EVIDENCE_TTL: Duration = Duration::from_secs(8);

/// Pace of one incarnation of a replica as observed by the routers of the zone. The sum of the
/// peers' evidence is maintained incrementally, since it is read often and there may be many
/// peers.
#[derive(Debug, Default)]
pub struct PaceObservations {
    own: PaceEvidence, // decayed until `own_updated`
    own_updated: Moment,
    overdue: PaceEvidence, // of first tokens that are overdue, as of the last check
    peers: HashMap<u32, (Moment, PaceEvidence)>, // time received and evidence, by address hash
    peer_sum: PaceEvidence, // decayed until `peer_sum_updated`
    peer_sum_updated: Moment,
    oldest: Moment, // no evidence in `peers` was received before
}

impl PaceObservations {
    /// Adds evidence of this router.
    pub fn record(
        &mut self,
        now: Moment,
        sample: PaceEvidence,
    ) {
        self.own = self.own.decayed(now.saturating_sub(self.own_updated));
        self.own += sample;
        self.own_updated = self.own_updated.max(now);
    }

    /// Replaces the evidence of overdue first tokens.
    pub fn set_overdue(
        &mut self,
        overdue: PaceEvidence,
    ) {
        self.overdue = overdue;
    }

    /// Evidence of this router alone.
    pub fn own(
        &self,
        now: Moment,
    ) -> PaceEvidence {
        let mut sum = self.own.decayed(now.saturating_sub(self.own_updated));
        sum += self.overdue;
        sum
    }

    /// Replaces the evidence of a peer, which is relative to the peer's own mean.
    pub fn apply_peer_evidence(
        &mut self,
        now: Moment,
        peer: u32,
        evidence: PaceEvidence,
    ) {
        self.peer_sum = self
            .peer_sum
            .decayed(now.saturating_sub(self.peer_sum_updated));
        self.peer_sum_updated = now;
        if self.peers.is_empty() {
            self.oldest = now;
        }
        self.peer_sum += evidence;
        if let Some((received, previous)) = self.peers.insert(peer, (now, evidence)) {
            self.peer_sum -= previous.decayed(now.saturating_sub(received));
        }
    }

    /// Drops evidence of peers that is too old.
    pub fn remove_old_peer_evidence(
        &mut self,
        now: Moment,
    ) {
        if self.peers.is_empty() || now.saturating_sub(self.oldest) <= PEER_EVIDENCE_TTL {
            return;
        }
        self.peers
            .retain(|_, (received, _)| now.saturating_sub(*received) <= PEER_EVIDENCE_TTL);
        self.peer_sum = PaceEvidence::default();
        self.peer_sum_updated = now;
        self.oldest = now;
        for (received, evidence) in self.peers.values() {
            self.peer_sum += evidence.decayed(now.saturating_sub(*received));
            self.oldest = self.oldest.min(*received);
        }
    }

    /// Evidence of all routers of the zone, each relative to the router's own mean; that of
    /// this router is `baseline`.
    pub fn all(
        &self,
        now: Moment,
        baseline: BaselinePace,
    ) -> PaceEvidence {
        let mut sum = self.own(now).relative_to(baseline);
        sum += self
            .peer_sum
            .decayed(now.saturating_sub(self.peer_sum_updated));
        sum
    }
}
