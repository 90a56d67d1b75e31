use std::time::Duration;

/// How long one watch waits, and when it counts as lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTime {
    pub wait: Duration,
    pub limit: Duration, // the wait included
}
