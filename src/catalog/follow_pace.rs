use std::time::Duration;

/// The part of `apply` by which an answer may be late before its call counts as lost.
/// An answer takes some milliseconds, on a host of 0.09 of a core up to 150.
const SLACK_SHARE: f64 = 0.15;

/// The part of `apply` left for the call that replaces a lost one, and for telling
/// what it brought to the other routers of the zone.
const SPARE_SHARE: f64 = 0.1;

/// The part of `apply` that a call may take that waits for nothing.
const READ_SHARE: f64 = 0.5;

/// How often the store is asked, and how long an answer may take. A call that got lost
/// looks like one that waits, so that no call may last longer than a confirmed
/// configuration has to come into force.
#[derive(Debug, Clone, Copy)]
pub struct FollowPace {
    pub apply: Duration,       // within which a confirmed configuration is in force
    pub pause: Duration,       // between two watches, so that changes come together
    pub retry_pause: Duration, // between the starts of two calls of which the first failed, at most; drawn at random below it
}

impl FollowPace {
    /// The longest that a watch waits; none if no time is left for waiting.
    pub fn watch_wait(&self) -> Option<Duration> {
        let spare = self.apply.mul_f64(SPARE_SHARE);
        let taken = self.pause + self.slack() + spare;
        self.apply
            .checked_sub(taken)
            .filter(|wait| wait.as_millis() > 0)
    }

    /// How much longer than it waits a watch may take.
    pub fn slack(&self) -> Duration {
        self.apply.mul_f64(SLACK_SHARE)
    }

    /// How long a call may take that waits for nothing.
    pub fn read_time(&self) -> Duration {
        self.apply.mul_f64(READ_SHARE)
    }
}
