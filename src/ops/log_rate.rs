use std::time::Duration;

/// Fraction of the rate that only failures may use.
const RESERVED_FOR_FAILURES: f64 = 0.5;

/// Limits the rate of log lines, as a token bucket that reserves a part for failures, and counts
/// the lines that were left out.
#[derive(Debug, Clone, Copy)]
pub struct LogRate {
    per_second: f64,
    tokens: f64, // lines that may be written now; at most those of one second
    refilled_at: Duration,
    left_out: u64,
}

impl LogRate {
    /// Creates a limit in lines a second. `now` is the time of any monotonic clock.
    pub fn new(
        per_second: f64,
        now: Duration,
    ) -> Self {
        Self {
            per_second,
            tokens: per_second,
            refilled_at: now,
            left_out: 0,
        }
    }

    /// Decides whether a line may be written: `None` if not, else the number of lines that were
    /// left out since the last one.
    pub fn admit(
        &mut self,
        now: Duration,
        is_failure: bool,
    ) -> Option<u64> {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        let reserved = if is_failure {
            0.0
        } else {
            self.per_second * RESERVED_FOR_FAILURES
        };
        if self.tokens < reserved + 1.0 {
            self.left_out += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.left_out))
    }

    /// Counts a line that was admitted but could not be written.
    pub fn record_dropped(&mut self) {
        self.left_out += 1;
    }
}
