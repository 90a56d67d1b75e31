use {
    crate::policy::{Moment, mix},
    std::time::Duration,
};

/// A router that has been up for less does not send to replicas that have just started:
/// it may not know its fellows yet, nor they it. Routers that start together find each
/// other within some five of their questions, 200 ms apart.
const SETTLED: Duration = Duration::from_secs(2);

/// What a router knows of its fellows is gone by for this long.
const BELIEVED: Duration = Duration::from_millis(500);

/// The routers of the own zone, as this router sees them: who of them sends to a replica
/// of the zone that has just started. All draw the same one by hash.
#[derive(Debug, Clone, Default)]
pub struct ZoneRouters {
    own: u64,          // hash of this router's address
    fellows: Vec<u64>, // of those that were heard of lately
    known: usize,      // fellows that were heard of in a longer time
    seen: Moment,      // when this was so
}

impl ZoneRouters {
    /// Those that were heard of lately, and how many were in a longer time.
    pub fn new(
        now: Moment,
        own: u64,
        fellows: Vec<u64>,
        known: usize,
    ) -> Self {
        Self {
            own,
            fellows,
            known,
            seen: now,
        }
    }

    /// Whether this router is the one that sends to a replica of its zone, by the hash of
    /// the replica's id. Not while it hears of no more than half of the zone: cut off, it
    /// would be one of many that each believe to be alone.
    pub fn owns(
        &self,
        now: Moment,
        replica: u64,
    ) -> bool {
        let hears_most = (self.fellows.len() + 1) * 2 > self.known.max(self.fellows.len()) + 1;
        hears_most && self.draws(now, replica)
    }

    /// Whether this router is drawn for a replica of its zone of all that were heard of
    /// lately. Where routers do not hear of each other, more than one may be.
    pub fn draws(
        &self,
        now: Moment,
        replica: u64,
    ) -> bool {
        let is_settled = now >= SETTLED && now.saturating_sub(self.seen) <= BELIEVED;
        let weight = mix(self.own, replica);
        let mut others = self.fellows.iter().map(|fellow| mix(*fellow, replica));
        is_settled && !others.any(|other| other > weight)
    }
}
