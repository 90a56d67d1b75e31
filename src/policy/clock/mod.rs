//! Time: moments, starts of processes, and processes that stood still.

mod incarnation;
mod moment;
mod pause_detector;
mod standstill;

pub use {
    incarnation::Incarnation, moment::Moment, pause_detector::PauseDetector, standstill::Standstill,
};
