//! Pauses between the events of a stream: how often they exceed the target of the stream's
//! route, and how the placement of a request affects them.

mod late_fraction;
mod pause_estimate;
mod pause_record;
mod pause_risk;
mod pause_watch;
mod stream_durations;
mod target_pauses;

pub use {
    late_fraction::late_fraction, pause_estimate::PauseEstimate, pause_record::PauseRecord,
    pause_risk::PauseRisk, pause_watch::PauseWatch, stream_durations::StreamDurations,
    target_pauses::TargetPauses,
};
