//! Choice of the replica that runs a request, by the cost of its prompt there, the
//! queue, the free memory and the observed health of the replica.

mod cache_events;
mod choosing;
mod engines;
mod loads;
mod pauses;
mod placement_settings;
mod prompts;
mod replica_table;
mod replicas;

pub use {
    cache_events::{
        CacheChange, CacheCursor, CacheEvent, CacheEventBatch, CacheEventTracker, SharedParts,
        UnseenEvents,
    },
    choosing::{Choice, PlacementRequest, RefusalReason},
    engines::{
        BaselinePace, EngineLatency, FirstToken, LatencyModel, LatencyModels, LatencyReport,
        PaceChange, PaceEvidence, PaceSum, PauseEvidence, ReplicaEvidence, ReplicaPace,
        TypicalPrompts,
    },
    loads::{
        ExpectedTimes, FleetSize, InFlightId, InFlightRequest, Load, PeerLoads, ReplicaReport,
    },
    pauses::{
        PauseEstimate, PauseRecord, PauseRisk, PauseWatch, StreamDurations, TargetPauses,
        late_fraction,
    },
    placement_settings::PlacementSettings,
    prompts::{CachedPart, PartPlacement, PrefixCache, PromptPart, PromptShape, SentPrompt},
    replica_table::ReplicaTable,
    replicas::{
        PaceObservations, PlainRun, PlainTimes, ReplicaHealth, ReplicaObservations, ReplicaView,
    },
};
