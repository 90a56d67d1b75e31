use {
    crate::policy::{Moment, mix_hashes},
    std::time::Duration,
};

/// Uptime below which a router does not send to replicas in slow start, as the routers of the zone
/// may not know each other yet. Routers that start together discover each other within some five
/// queries, 200 ms apart.
const MIN_UPTIME: Duration = Duration::from_secs(2);

/// An older view of the zone's routers is not used.
const MAX_VIEW_AGE: Duration = Duration::from_millis(500);

/// This router's view of the routers in its zone. It decides which of them sends to a replica of
/// the zone in slow start: all pick the same one by rendezvous hashing.
#[derive(Debug, Clone, Default)]
pub struct ZoneRouters {
    own: u64,             // hash of this router's address
    neighbours: Vec<u64>, // address hashes of the other routers that reported recently
    known: usize,         // how many others reported within a longer time
    as_of: Moment,
}

impl ZoneRouters {
    /// The view as of `now`. `neighbours` are the address hashes of the other routers that
    /// reported recently, `known` counts those that did within a longer time.
    pub fn new(
        now: Moment,
        own: u64,
        neighbours: Vec<u64>,
        known: usize,
    ) -> Self {
        Self {
            own,
            neighbours,
            known,
            as_of: now,
        }
    }

    /// Whether this router is the one that sends to a replica of its zone, given the hash of
    /// the replica's id. False while it gets reports of no more than half of the zone's routers:
    /// routers that are cut off from each other would otherwise each consider themselves alone.
    pub fn owns(
        &self,
        now: Moment,
        replica: u64,
    ) -> bool {
        self.is_majority() && self.is_highest_ranked(now, replica)
    }

    /// Whether this router knows its zone and gets reports of more than half of its routers.
    pub fn is_connected(
        &self,
        now: Moment,
    ) -> bool {
        self.is_valid(now) && self.is_majority()
    }

    fn is_majority(&self) -> bool {
        (self.neighbours.len() + 1) * 2 > self.known.max(self.neighbours.len()) + 1
    }

    fn is_valid(
        &self,
        now: Moment,
    ) -> bool {
        now >= MIN_UPTIME && now.saturating_sub(self.as_of) <= MAX_VIEW_AGE
    }

    /// Whether this router ranks highest for a replica of its zone among the routers that
    /// reported recently. Where routers do not reach each other, several may rank highest.
    pub fn is_highest_ranked(
        &self,
        now: Moment,
        replica: u64,
    ) -> bool {
        let weight = mix_hashes(self.own, replica);
        let mut others = self
            .neighbours
            .iter()
            .map(|other| mix_hashes(*other, replica));
        self.is_valid(now) && !others.any(|other| other > weight)
    }
}
