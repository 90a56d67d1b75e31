use {
    super::{PlainTimes, ReplicaHealth, SeenWork},
    crate::{
        catalog::UpstreamEntry,
        policy::{
            Moment, Reporter, ReporterScope,
            placement::{
                Load, PauseRecord, PauseSight, PeerLoads, PrefixCache, ReplicaPace, ReplicaReport,
            },
            slow_start::SlowStartState,
            stable_hash,
        },
    },
    std::{sync::Arc, time::Duration},
};

/// What this router knows of one replica.
#[derive(Debug)]
pub struct ReplicaView {
    pub entry: Arc<UpstreamEntry>,
    pub hash: u64,  // of its id, the same at every router
    pub start: u32, // short name of this start of it
    pub own: Load,  // what this router has there
    pub health: ReplicaHealth,
    pub cache: PrefixCache,
    pub placed: u64,                // tokens that this router sent there so far
    pub placed_by_zone: u64,        // the same, with the other routers of its zone
    pub heard: Moment,              // when it last answered anything
    pub plain: PlainTimes,          // of requests that are no prompts
    pub seen: SeenWork,             // of how it works
    pub pace: ReplicaPace,          // as of the last look at what was seen
    pub logged_pace: f64,           // the lasting one, as it was last logged
    pub pauses: PauseRecord,        // of its streams, against what was expected
    pub pause_sight: PauseSight,    // as of the last look at what was seen
    pub start_pace: SlowStartState, // what this router sends there while it starts slowly
    routers: PeerLoads,             // of the own zone
    zones: PeerLoads,               // the other zones, each as a whole
}

impl ReplicaView {
    /// A replica that nothing is known of but its entry.
    pub fn new(entry: Arc<UpstreamEntry>) -> Self {
        Self {
            hash: stable_hash(&&*entry.id),
            start: entry.start_hash(),
            entry,
            own: Load::default(),
            health: ReplicaHealth::default(),
            cache: PrefixCache::default(),
            placed: 0,
            placed_by_zone: 0,
            heard: Moment::ZERO,
            plain: PlainTimes::default(),
            seen: SeenWork::default(),
            pace: ReplicaPace::default(),
            logged_pace: 1.0,
            pauses: PauseRecord::default(),
            pause_sight: PauseSight::default(),
            start_pace: SlowStartState::default(),
            routers: PeerLoads::default(),
            zones: PeerLoads::default(),
        }
    }

    /// What all routers have there, as far as heard of within `age`.
    pub fn load(
        &self,
        now: Moment,
        age: Duration,
    ) -> Load {
        let mut sum = self.zone_load(now, age);
        sum += self.zones.load(now, age);
        sum
    }

    /// What the routers of the own zone have there.
    pub fn zone_load(
        &self,
        now: Moment,
        age: Duration,
    ) -> Load {
        let mut sum = self.own;
        sum += self.routers.load(now, age);
        sum
    }

    /// Whether others let it rest.
    pub fn is_avoided(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        self.is_avoided_in_zone(now, age) || self.zones.is_avoided(now, age)
    }

    /// Whether another router of the own zone lets it rest.
    pub fn is_avoided_in_zone(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        self.routers.is_avoided(now, age)
    }

    /// Others told what they have there; reports older than `age` count no more.
    pub fn hear(
        &mut self,
        now: Moment,
        age: Duration,
        teller: Reporter,
        report: &ReplicaReport,
    ) {
        let loads = match teller.scope {
            ReporterScope::Router => &mut self.routers,
            ReporterScope::Zone => &mut self.zones,
        };
        let placed = loads.hear(now, age, teller.name, teller.source_id, report);
        if teller.scope == ReporterScope::Router {
            self.placed_by_zone += placed;
        }
        self.cache.place(placed);
    }
}
