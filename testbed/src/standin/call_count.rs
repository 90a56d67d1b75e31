use std::time::{Duration, Instant};

/// Counts calls and refuses those over a rate limit, in windows of one second.
#[derive(Default)]
pub struct CallCount {
    pub total: u64,
    pub refused: u64,
    window: Option<Instant>, // start of the current one-second window
    in_window: u32,          // calls in the current window
}

impl CallCount {
    /// Counts a call. Returns false if it exceeds the rate limit; `None` is no limit.
    pub fn allow(
        &mut self,
        calls_per_second: Option<u32>,
    ) -> bool {
        self.total += 1;
        let now = Instant::now();
        let same_second = self
            .window
            .is_some_and(|start| now.duration_since(start) < Duration::from_secs(1));
        if !same_second {
            self.window = Some(now);
            self.in_window = 0;
        }
        self.in_window += 1;
        let allowed = calls_per_second.is_none_or(|bound| self.in_window <= bound);
        if !allowed {
            self.refused += 1;
        }
        allowed
    }
}
