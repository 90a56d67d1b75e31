//! Moments, incarnations of processes, and detection that the process was suspended.

mod incarnation;
mod moment;
mod suspension_detector;
mod suspension_guard;

pub use {
    incarnation::Incarnation, moment::Moment, suspension_detector::SuspensionDetector,
    suspension_guard::SuspensionGuard,
};
