//! Pauses between the events of streams: where they come over what is in time, and what
//! placing a request does to them.

mod broken_share;
mod pause_aims;
mod pause_record;
mod pause_risk;
mod pause_sight;
mod pause_watch;
mod run_lengths;

pub use {
    broken_share::broken_share, pause_aims::PauseAims, pause_record::PauseRecord,
    pause_risk::PauseRisk, pause_sight::PauseSight, pause_watch::PauseWatch,
    run_lengths::RunLengths,
};
