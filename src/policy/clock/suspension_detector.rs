use {crate::policy::Moment, std::time::Duration};

/// Detects that the process was suspended: stopped, stalled or frozen with its machine.
#[derive(Debug, Clone, Copy)]
pub struct SuspensionDetector {
    limit: Duration,
    last: Moment,
}

impl SuspensionDetector {
    /// Creates a detector of suspensions longer than `limit`. [`Self::tick`] must be called far
    /// more often.
    pub fn new(
        limit: Duration,
        now: Moment,
    ) -> Self {
        Self { limit, last: now }
    }

    /// Returns the length of the suspension that just ended, if there was one.
    pub fn tick(
        &mut self,
        now: Moment,
    ) -> Option<Duration> {
        let gap = now.saturating_sub(self.last);
        self.last = now;
        (gap > self.limit).then_some(gap)
    }
}
