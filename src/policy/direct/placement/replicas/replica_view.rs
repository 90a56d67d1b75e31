use {
    super::{PlainTimes, ReplicaHealth, ReplicaObservations},
    crate::{
        catalog::UpstreamEntry,
        policy::{
            Moment, Reporter, ReporterScope,
            placement::{
                Load, PauseEstimate, PauseRecord, PeerLoads, PrefixCache, ReplicaPace,
                ReplicaReport,
            },
            slow_start::SlowStartState,
            stable_hash,
        },
    },
    std::{sync::Arc, time::Duration},
};

/// A router's view of one replica.
#[derive(Debug)]
pub struct ReplicaView {
    pub entry: Arc<UpstreamEntry>,
    pub id_hash: u64,    // of its id, equal at every router
    pub start_hash: u32, // hash of its id and start time
    pub own_load: Load,  // in-flight load of this router
    pub health: ReplicaHealth,
    pub cache: PrefixCache,
    pub placed_tokens: u64,      // tokens that this router has sent there
    pub zone_placed_tokens: u64, // tokens that all routers of the zone have sent there
    pub last_answer: Moment,     // time of the last answer to this router
    pub plain: PlainTimes,       // of requests without a prompt
    pub observations: ReplicaObservations, // observed pace and pauses
    pub pace: ReplicaPace,       // as of the last refresh of the estimates
    pub logged_pace: f64,        // lasting pace as of the last log line
    pub pauses: PauseRecord,     // observed by this router
    pub pause_estimate: PauseEstimate, // as of the last refresh of the estimates
    pub slow_start: SlowStartState, // slow-start limit on requests of this router
    routers: PeerLoads,          // of the other routers of the zone
    zones: PeerLoads,            // of the other zones, one report for each
}

impl ReplicaView {
    /// A replica without observations.
    pub fn new(entry: Arc<UpstreamEntry>) -> Self {
        Self {
            id_hash: stable_hash(&&*entry.id),
            start_hash: entry.start_hash(),
            entry,
            own_load: Load::default(),
            health: ReplicaHealth::default(),
            cache: PrefixCache::default(),
            placed_tokens: 0,
            zone_placed_tokens: 0,
            last_answer: Moment::ZERO,
            plain: PlainTimes::default(),
            observations: ReplicaObservations::default(),
            pace: ReplicaPace::default(),
            logged_pace: 1.0,
            pauses: PauseRecord::default(),
            pause_estimate: PauseEstimate::default(),
            slow_start: SlowStartState::default(),
            routers: PeerLoads::default(),
            zones: PeerLoads::default(),
        }
    }

    /// In-flight load of all routers. Reports older than `age` are ignored.
    pub fn load(
        &self,
        now: Moment,
        age: Duration,
    ) -> Load {
        let mut sum = self.zone_load(now, age);
        sum += self.zones.load(now, age);
        sum
    }

    /// In-flight load of the routers of this router's zone.
    pub fn zone_load(
        &self,
        now: Moment,
        age: Duration,
    ) -> Load {
        let mut sum = self.own_load;
        sum += self.routers.load(now, age);
        sum
    }

    /// Whether another router or zone has ejected it.
    pub fn is_ejected(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        self.is_ejected_in_zone(now, age) || self.zones.is_ejected(now, age)
    }

    /// Whether another router of this router's zone has ejected it.
    pub fn is_ejected_in_zone(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        self.routers.is_ejected(now, age)
    }

    /// Records a load report of another router or zone. Reports older than `age` are ignored
    /// from now on.
    pub fn apply_peer_load(
        &mut self,
        now: Moment,
        age: Duration,
        reporter: Reporter,
        report: &ReplicaReport,
    ) {
        let loads = match reporter.scope {
            ReporterScope::Router => &mut self.routers,
            ReporterScope::Zone => &mut self.zones,
        };
        let placed_tokens = loads.apply_report(now, age, reporter.name, reporter.source_id, report);
        if reporter.scope == ReporterScope::Router {
            self.zone_placed_tokens += placed_tokens;
        }
        self.cache.add_placed(placed_tokens);
    }
}
