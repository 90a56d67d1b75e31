//! Moments, incarnations of processes, and detection of processes that were suspended.

mod incarnation;
mod moment;
mod pause_detector;
mod standstill;

pub use {
    incarnation::Incarnation, moment::Moment, pause_detector::PauseDetector, standstill::Standstill,
};
