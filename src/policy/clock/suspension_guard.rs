use {
    crate::policy::{Moment, SuspensionDetector},
    std::time::Duration,
};

/// Messages received this soon after a suspension may have been queued before its end, so they
/// confirm nothing. Another router sends about five reports in this time.
const QUEUED_MESSAGES_PERIOD: Duration = Duration::from_millis(50);

/// A process that receives no confirmation uses its state again after this long: with the store and
/// all other processes gone, nobody has anything newer.
const MAX_UNCONFIRMED: Duration = Duration::from_millis(1000);

/// Detects that the process was suspended: stopped, stalled or frozen with its machine. Its state
/// may be outdated then, and must be confirmed before it is used again.
#[derive(Debug, Clone, Copy)]
pub struct SuspensionGuard {
    detector: SuspensionDetector,
    unconfirmed: Option<Moment>, // since the end of this suspension
}

impl SuspensionGuard {
    /// Creates a guard for a process that starts now, against suspensions longer than `limit`.
    pub fn new(
        limit: Duration,
        now: Moment,
    ) -> Self {
        Self {
            detector: SuspensionDetector::new(limit, now),
            unconfirmed: None,
        }
    }

    /// Returns the length of the suspension that just ended, if there was one. Must be called
    /// far more often than the limit, and before any state is used.
    pub fn check(
        &mut self,
        now: Moment,
    ) -> Option<Duration> {
        let suspension = self.detector.tick(now);
        if suspension.is_some() {
            self.unconfirmed = Some(now);
        }
        suspension
    }

    /// Records that another process or the store has nothing newer than this process.
    pub fn confirm(
        &mut self,
        now: Moment,
    ) {
        let since = self.unconfirmed.map(|since| now.saturating_sub(since));
        if since.is_some_and(|since| since >= QUEUED_MESSAGES_PERIOD) {
            self.unconfirmed = None;
        }
    }

    /// Whether the state must be confirmed before it is used.
    pub fn is_unconfirmed(
        &self,
        now: Moment,
    ) -> bool {
        let since = self.unconfirmed.map(|since| now.saturating_sub(since));
        since.is_some_and(|since| since < MAX_UNCONFIRMED)
    }
}
