use {
    super::{Load, PrefixCache, ReadingSpeed, ReplicaHealth, ReplicaReport},
    crate::{catalog::UpstreamEntry, policy::Moment},
    std::{collections::HashMap, sync::Arc, time::Duration},
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
    pub speed: ReadingSpeed,
    pub placed: u64,     // tokens that this router sent there so far
    pub heard: Moment,   // when it last answered anything
    pub service_ms: f64, // moving time of a plain request
    peers: HashMap<u32, PeerReport>,
}

#[derive(Debug, Clone, Copy)]
struct PeerReport {
    load: Load,
    placed: u64,
    avoids: bool, // it lets the replica rest
    heard: Moment,
}

impl ReplicaView {
    /// A replica that nothing is known of but its entry.
    pub fn new(
        entry: Arc<UpstreamEntry>,
        speed: f64,
    ) -> Self {
        Self {
            entry,
            own: Load::default(),
            health: ReplicaHealth::default(),
            cache: PrefixCache::default(),
            speed: ReadingSpeed::new(speed),
            placed: 0,
            heard: Moment::ZERO,
            service_ms: 10.0,
            peers: HashMap::new(),
        }
    }

    /// What all routers have there, as far as heard of within `age`.
    pub fn load(
        &self,
        now: Moment,
        age: Duration,
    ) -> Load {
        let mut sum = self.own;
        let fresh = |report: &&PeerReport| now.saturating_sub(report.heard) <= age;
        for report in self.peers.values().filter(fresh) {
            sum += report.load;
        }
        sum
    }

    /// Whether a peer lets it rest.
    pub fn is_avoided(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        self.peers
            .values()
            .any(|report| report.avoids && now.saturating_sub(report.heard) <= age)
    }

    /// A peer told what it has there.
    pub fn hear(
        &mut self,
        now: Moment,
        peer: u32,
        report: &ReplicaReport,
    ) {
        let told = PeerReport {
            load: report.load,
            placed: report.placed,
            avoids: report.rests,
            heard: now,
        };
        let before = self.peers.insert(peer, told);
        // A router that started anew counts from zero.
        let known = before.map_or(0, |before| before.placed);
        let fresh = report.placed.checked_sub(known).unwrap_or(report.placed);
        self.cache.place(fresh);
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
