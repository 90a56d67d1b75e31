//! Latency models of inference engines, learnt from observed first tokens and stream pauses.

mod latency_model;
mod latency_models;
mod latency_report;
mod engine_latency;
mod first_token;
mod pace_evidence;
mod pace_change;
mod pace_sum;
mod pause_evidence;
mod replica_evidence;
mod replica_pace;
mod baseline_pace;
mod typical_prompts;

pub use {
    latency_model::LatencyModel, latency_models::LatencyModels, latency_report::LatencyReport,
    engine_latency::EngineLatency, first_token::FirstToken, pace_evidence::PaceEvidence,
    pace_change::PaceChange, pace_sum::PaceSum, pause_evidence::PauseEvidence,
    replica_evidence::ReplicaEvidence, replica_pace::ReplicaPace, baseline_pace::BaselinePace,
    typical_prompts::TypicalPrompts,
};
