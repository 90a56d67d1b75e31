use {crate::policy::Moment, std::time::Duration};

/// Notices that the process stood still: a frozen machine or a stopped process.
#[derive(Debug, Clone, Copy)]
pub struct PauseDetector {
    limit: Duration,
    last: Moment,
}

impl PauseDetector {
    /// A detector to be asked far more often than `limit`.
    pub fn new(
        limit: Duration,
        now: Moment,
    ) -> Self {
        Self { limit, last: now }
    }

    /// The length of the pause that just ended, if there was one.
    pub fn tick(
        &mut self,
        now: Moment,
    ) -> Option<Duration> {
        let gap = now.saturating_sub(self.last);
        self.last = now;
        (gap > self.limit).then_some(gap)
    }
}
