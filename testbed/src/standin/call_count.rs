use std::time::{Duration, Instant};

/// Calls of the platform's service, and which were over the rate.
#[derive(Default)]
pub struct CallCount {
    pub total: u64,
    pub refused: u64,
    window: Option<Instant>, // start of the present second
    in_window: u32,
}

impl CallCount {
    /// Counts a call. False if it is over the rate.
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
