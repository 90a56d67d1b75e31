//! Choice of the replica that runs a request, by the cost of its prompt there, the
//! queue, the free memory and the observed health of the replica.

mod replica_table;
mod choosing;
mod engines;
mod cache_events;
mod loads;
mod pauses;
mod placement_settings;
mod prompts;
mod replicas;

pub use {
    replica_table::ReplicaTable,
    choosing::{Choice, PlacementRequest, RefusalReason},
    engines::{
        LatencyModel, LatencyModels, LatencyReport, EngineLatency, FirstToken, PaceEvidence, PaceChange,
        PaceSum, PauseEvidence, ReplicaEvidence, ReplicaPace, BaselinePace, TypicalPrompts,
    },
    cache_events::{UnseenEvents, CacheChange, CacheEvent, CacheCursor, CacheEventBatch, CacheEventTracker, SharedParts},
    loads::{ExpectedTimes, FleetSize, Load, PeerLoads, ReplicaReport, InFlightRequest, InFlightId},
    pauses::{TargetPauses, PauseRecord, PauseRisk, PauseEstimate, PauseWatch, StreamDurations, late_fraction},
    placement_settings::PlacementSettings,
    prompts::{PartPlacement, CachedPart, PrefixCache, PromptPart, PromptShape, SentPrompt},
    replicas::{PlainRun, PlainTimes, ReplicaHealth, ReplicaView, PaceObservations, ReplicaObservations},
};
