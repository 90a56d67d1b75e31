//! Pauses between the events of a stream: how often they exceed the target of the stream's
//! route, and how the placement of a request affects them.

mod late_fraction;
mod target_pauses;
mod pause_record;
mod pause_risk;
mod pause_estimate;
mod pause_watch;
mod stream_durations;

pub use {
    late_fraction::late_fraction, target_pauses::TargetPauses, pause_record::PauseRecord,
    pause_risk::PauseRisk, pause_estimate::PauseEstimate, pause_watch::PauseWatch,
    stream_durations::StreamDurations,
};
