use std::time::Duration;

/// Timing of one watch of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTiming {
    pub wait: Duration, // how long the store may hold the answer until there is a change
    pub limit: Duration, // time-out of the whole call
}
