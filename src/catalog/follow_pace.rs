use {super::WatchTime, std::time::Duration};

/// The part of `apply` by which an answer may be late before its call counts as lost:
/// a store answers in milliseconds, the rest is for a host that is short of processor.
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
    pub retry_pause: Duration, // after the start of a call that failed, at most; drawn below it
}

impl FollowPace {
    /// How the next watch is asked. After a failure it asks for what is there instead of
    /// waiting for a change: a watch that is sent while the store is silent is missed
    /// for its whole wait after the return (3 s of old configuration at five routers after
    /// a silence of 9 s, from their logs).
    pub fn next_watch(
        &self,
        failed_before: bool,
    ) -> WatchTime {
        let wait = self.watch_wait().filter(|_| !failed_before);
        WatchTime {
            wait: wait.unwrap_or_default(),
            limit: wait.map_or(self.read_time(), |wait| wait + self.slack()),
        }
    }

    /// How long a call may take that waits for nothing.
    pub fn read_time(&self) -> Duration {
        self.apply.mul_f64(READ_SHARE)
    }

    /// After how long the first reading is begun anew beside one that is not answered.
    pub fn first_again(&self) -> Duration {
        self.slack()
    }

    /// The pause after a call that failed. `drawn` is from 0 to 1, so that a store that
    /// comes back is not met by all at once; what the call took counts.
    pub fn pause_after_failure(
        &self,
        call_took: Duration,
        drawn: f64,
    ) -> Duration {
        let pause = self.retry_pause.mul_f64(0.5 + 0.5 * drawn);
        pause.saturating_sub(call_took)
    }

    /// Whether a change comes into force in time where calls get lost.
    pub fn keeps_apply(&self) -> bool {
        self.watch_wait().is_some() && self.retry_pause < self.apply
    }

    /// The longest that a watch waits; none if no time is left for waiting.
    fn watch_wait(&self) -> Option<Duration> {
        let spare = self.apply.mul_f64(SPARE_SHARE);
        let taken = self.pause + self.slack() + spare;
        let wait = self.apply.checked_sub(taken);
        wait.filter(|wait| wait.as_millis() > 0)
    }

    /// How much longer than it waits a watch may take.
    fn slack(&self) -> Duration {
        self.apply.mul_f64(SLACK_SHARE)
    }
}
