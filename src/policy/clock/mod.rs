//! Moments, incarnations of processes, and detection that the process was suspended.

mod incarnation;
mod moment;
mod pause_detector;
mod suspension_guard;

pub use {
    incarnation::Incarnation, moment::Moment, pause_detector::PauseDetector,
    suspension_guard::SuspensionGuard,
};
