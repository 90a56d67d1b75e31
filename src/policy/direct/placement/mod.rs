//! Which replica runs a request: what its prompt costs to read there, what is
//! in front of it, what memory is left, and what evidence speaks against it.

mod admission;
mod board_choice;
mod board_evidence;
mod board_notices;
mod board_plain;
mod board_reports;
mod board_starts;
mod cache_note;
mod candidate;
mod cheapest;
mod choice;
mod considered;
mod engine_model;
mod engine_models;
mod engine_report;
mod engine_times;
mod first_token;
mod fleet_size;
mod homes;
mod kept_part;
mod load;
mod offer;
mod peer_loads;
mod placement_request;
mod placement_settings;
mod plain_queue;
mod plain_times;
mod prefix_cache;
mod prompt;
mod replica_board;
mod replica_health;
mod replica_report;
mod replica_view;
mod sent_prompt;
mod usual_readings;
mod work;

pub use {
    cache_note::CacheNote,
    choice::{Choice, RefusalReason},
    engine_model::EngineModel,
    engine_models::EngineModels,
    engine_report::EngineReport,
    engine_times::EngineTimes,
    first_token::FirstToken,
    fleet_size::FleetSize,
    kept_part::KeptPart,
    load::Load,
    peer_loads::PeerLoads,
    placement_request::PlacementRequest,
    placement_settings::PlacementSettings,
    plain_times::{PlainRun, PlainTimes},
    prefix_cache::PrefixCache,
    prompt::{PromptPart, PromptShape},
    replica_board::ReplicaBoard,
    replica_health::ReplicaHealth,
    replica_report::ReplicaReport,
    replica_view::ReplicaView,
    sent_prompt::SentPrompt,
    usual_readings::UsualReadings,
    work::{Work, WorkNumber},
};
