use {
    super::{Load, PeerLoads, PrefixCache, ReplicaHealth, ReplicaReport},
    crate::{catalog::UpstreamEntry, policy::Moment},
    std::{sync::Arc, time::Duration},
};

/// Weight of a new sample of the time that a plain request takes.
const TIME_WEIGHT: f64 = 0.1;

/// What this router knows of one replica.
#[derive(Debug)]
pub struct ReplicaView {
    pub entry: Arc<UpstreamEntry>,
    pub own: Load, // what this router has there
    pub health: ReplicaHealth,
    pub cache: PrefixCache,
    pub placed: u64,     // tokens that this router sent there so far
    pub heard: Moment,   // when it last answered anything
    pub service_ms: f64, // moving time of a plain request
    peers: PeerLoads,
}

impl ReplicaView {
    /// A replica that nothing is known of but its entry.
    pub fn new(entry: Arc<UpstreamEntry>) -> Self {
        Self {
            entry,
            own: Load::default(),
            health: ReplicaHealth::default(),
            cache: PrefixCache::default(),
            placed: 0,
            heard: Moment::ZERO,
            service_ms: 10.0,
            peers: PeerLoads::default(),
        }
    }

    /// What all routers have there, as far as heard of within `age`.
    pub fn load(
        &self,
        now: Moment,
        age: Duration,
    ) -> Load {
        let mut sum = self.own;
        sum += self.peers.load(now, age);
        sum
    }

    /// Whether a peer lets it rest.
    pub fn is_avoided(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        self.peers.is_avoided(now, age)
    }

    /// A peer told what it has there; reports older than `age` count no more.
    pub fn hear(
        &mut self,
        now: Moment,
        age: Duration,
        peer: u32,
        report: &ReplicaReport,
    ) {
        let placed = self.peers.hear(now, age, peer, report);
        self.cache.place(placed);
    }

    /// A plain request took this long.
    pub fn learn_time(
        &mut self,
        took: Duration,
    ) {
        let sample = took.as_secs_f64() * 1000.0;
        self.service_ms += TIME_WEIGHT * (sample - self.service_ms);
    }
}
