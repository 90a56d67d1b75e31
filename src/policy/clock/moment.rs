use std::time::Duration;

/// A point in time: the process's uptime by its monotonic clock.
///
/// Moments of two processes cannot be compared, so messages carry durations.
pub type Moment = Duration;
