use std::time::Duration;

/// Part of the room that only failures may use.
const FOR_FAILURES: f64 = 0.5;

/// Bounds log lines to a rate, failures before successes, and counts those that
/// were left out.
#[derive(Debug, Clone, Copy)]
pub struct LogRate {
    per_second: f64,
    room: f64, // lines that may be written now; at most one second's worth
    filled: Duration,
    left_out: u64,
}

impl LogRate {
    /// A rate in lines a second; `now` is any clock that only goes forward.
    pub fn new(
        per_second: f64,
        now: Duration,
    ) -> Self {
        Self {
            per_second,
            room: per_second,
            filled: now,
            left_out: 0,
        }
    }

    /// Whether a line may be written. If so, how many were left out since the
    /// last one that was.
    pub fn admit(
        &mut self,
        now: Duration,
        is_failure: bool,
    ) -> Option<u64> {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = now;
        self.room = (self.room + passed * self.per_second).min(self.per_second);
        let kept_free = if is_failure {
            0.0
        } else {
            self.per_second * FOR_FAILURES
        };
        if self.room < kept_free + 1.0 {
            self.left_out += 1;
            return None;
        }
        self.room -= 1.0;
        Some(std::mem::take(&mut self.left_out))
    }

    /// A line that was let through could not be written after all.
    pub fn lost(&mut self) {
        self.left_out += 1;
    }
}
