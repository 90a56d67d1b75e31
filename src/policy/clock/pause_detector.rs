use {crate::policy::Moment, std::time::Duration};

/// Detects that the process did not run for a while: a frozen machine or a stopped process.
#[derive(Debug, Clone, Copy)]
pub struct PauseDetector {
    limit: Duration,
    last: Moment,
}

impl PauseDetector {
    /// A detector for pauses longer than `limit`. It must be called far more often than that.
    pub fn new(
        limit: Duration,
        now: Moment,
    ) -> Self {
        Self { limit, last: now }
    }

    /// Returns the length of the pause that just ended, if there was one.
    pub fn tick(
        &mut self,
        now: Moment,
    ) -> Option<Duration> {
        let gap = now.saturating_sub(self.last);
        self.last = now;
        (gap > self.limit).then_some(gap)
    }
}
