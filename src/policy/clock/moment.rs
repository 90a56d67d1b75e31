use std::time::Duration;

/// A point in time: how long the process has been up, by its monotonic clock.
///
/// Moments of two processes cannot be compared; messages carry durations.
pub type Moment = Duration;
