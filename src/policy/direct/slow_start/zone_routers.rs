use {
    crate::policy::{Moment, mix},
    std::time::Duration,
};

/// Uptime below which a router does not send to replicas in slow start, as it and its peers may
/// not know each other yet. Routers that start together discover each other within some five
/// queries, 200 ms apart.
const MIN_UPTIME: Duration = Duration::from_secs(2);

/// A view of the peers older than this is not used.
const MAX_VIEW_AGE: Duration = Duration::from_millis(500);

/// This router's view of the routers in its zone. It decides which of them sends to a replica of
/// the zone in slow start: all pick the same one by rendezvous hashing.
#[derive(Debug, Clone, Default)]
pub struct ZoneRouters {
    own: u64,        // hash of this router's address
    peers: Vec<u64>, // address hashes of the other routers heard from recently
    known: usize,    // how many others were heard from within a longer time
    as_of: Moment,
}

impl ZoneRouters {
    /// The view as of `now`. `peers` are the address hashes of the other routers heard from
    /// recently, `known` counts those heard from within a longer time.
    pub fn new(
        now: Moment,
        own: u64,
        peers: Vec<u64>,
        known: usize,
    ) -> Self {
        Self {
            own,
            peers,
            known,
            as_of: now,
        }
    }

    /// Whether this router is the one that sends to a replica of its zone, given the hash of
    /// the replica's id. False while it hears from no more than half of the zone's routers: many
    /// routers that are cut off from each other would otherwise each consider themselves alone.
    pub fn owns(
        &self,
        now: Moment,
        replica: u64,
    ) -> bool {
        let is_majority = (self.peers.len() + 1) * 2 > self.known.max(self.peers.len()) + 1;
        is_majority && self.draws(now, replica)
    }

    /// Whether this router ranks highest for a replica of its zone among the routers heard from
    /// recently. Where routers do not hear from each other, several may rank highest.
    pub fn draws(
        &self,
        now: Moment,
        replica: u64,
    ) -> bool {
        let is_valid = now >= MIN_UPTIME && now.saturating_sub(self.as_of) <= MAX_VIEW_AGE;
        let weight = mix(self.own, replica);
        let mut others = self.peers.iter().map(|peer| mix(*peer, replica));
        is_valid && !others.any(|other| other > weight)
    }
}
