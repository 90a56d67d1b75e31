//! Latency models of inference engines, learnt from observed first tokens and stream pauses.

mod baseline_pace;
mod engine_latency;
mod first_token;
mod latency_model;
mod latency_models;
mod latency_report;
mod pace_change;
mod pace_evidence;
mod pace_sum;
mod pause_evidence;
mod replica_evidence;
mod replica_pace;
mod typical_prompts;

pub use {
    baseline_pace::BaselinePace, engine_latency::EngineLatency, first_token::FirstToken,
    latency_model::LatencyModel, latency_models::LatencyModels, latency_report::LatencyReport,
    pace_change::PaceChange, pace_evidence::PaceEvidence, pace_sum::PaceSum,
    pause_evidence::PauseEvidence, replica_evidence::ReplicaEvidence, replica_pace::ReplicaPace,
    typical_prompts::TypicalPrompts,
};
