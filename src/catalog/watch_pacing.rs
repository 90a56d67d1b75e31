use {super::WatchTiming, std::time::Duration};

/// Fraction of `apply` that a watch may exceed its wait by before it counts as lost. The store
/// answers in milliseconds; the rest covers a host short of processor time.
const SLACK_FRACTION: f64 = 0.15;

/// Fraction of `apply` reserved for the call that replaces a lost one, and for passing its
/// result on to the other routers of the zone.
const RESERVE_FRACTION: f64 = 0.1;

/// Fraction of `apply` after which a call that does not wait for changes times out.
const READ_FRACTION: f64 = 0.5;

/// Timing of calls to the store. A lost watch cannot be told from one that waits for changes,
/// so no watch may take longer than a published configuration has to come into force.
#[derive(Debug, Clone, Copy)]
pub struct WatchPacing {
    pub apply: Duration, // deadline for a published configuration to be in force
    pub pause: Duration, // between two watches, so that changes are batched
    pub retry_pause: Duration, // upper bound of the time between the starts of retries
}

impl WatchPacing {
    /// Timing of the next watch. After a failure the watch returns at once instead of waiting
    /// for a change. A waiting watch sent while the store is unreachable would go unanswered
    /// until its time-out, and after a silence of 9 s would leave routers with the old
    /// configuration for another 3 s.
    pub fn next_watch(
        &self,
        failed_before: bool,
    ) -> WatchTiming {
        let wait = self.watch_wait().filter(|_| !failed_before);
        WatchTiming {
            wait: wait.unwrap_or_default(),
            limit: wait.map_or(self.read_time(), |wait| wait + self.slack()),
        }
    }

    /// Time-out of a call that does not wait for changes.
    pub fn read_time(&self) -> Duration {
        self.apply.mul_f64(READ_FRACTION)
    }

    /// Delay after which another first listing is started beside an unanswered one.
    pub fn first_listing_hedge_delay(&self) -> Duration {
        self.slack()
    }

    /// Pause after a failed call that took `call_time`. `jitter`, from 0 to 1, spreads the
    /// retries of processes, so that a store that recovers is not called by all at once.
    pub fn pause_after_failure(
        &self,
        call_time: Duration,
        jitter: f64,
    ) -> Duration {
        let pause = self.retry_pause.mul_f64(0.5 + 0.5 * jitter);
        pause.saturating_sub(call_time)
    }

    /// Whether a change is in force within `apply` even if a call is lost.
    pub fn meets_apply(&self) -> bool {
        self.watch_wait().is_some() && self.retry_pause < self.apply
    }

    /// The longest wait of a watch; none if `apply` leaves no time for one.
    fn watch_wait(&self) -> Option<Duration> {
        let reserve = self.apply.mul_f64(RESERVE_FRACTION);
        let overhead = self.pause + self.slack() + reserve;
        let wait = self.apply.checked_sub(overhead);
        wait.filter(|wait| wait.as_millis() > 0)
    }

    /// Time by which a watch may exceed its wait.
    fn slack(&self) -> Duration {
        self.apply.mul_f64(SLACK_FRACTION)
    }
}
