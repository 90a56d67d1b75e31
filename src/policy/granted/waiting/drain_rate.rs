use {
    crate::policy::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// Starts that are remembered.
const MAX_SAMPLES: usize = 32;

/// Starts needed before the rate is used.
const MIN_SAMPLES: usize = 8;

/// Shortest and longest `Retry-After` of a refusal.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// The rate at which an account's requests leave the queue of one router.
#[derive(Debug, Clone, Default)]
pub struct DrainRate {
    starts: VecDeque<Moment>,
}

impl DrainRate {
    /// Records that a request left the queue for an upstream.
    pub fn started(
        &mut self,
        now: Moment,
    ) {
        if self.starts.len() == MAX_SAMPLES {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Clears the samples, after the queue has been empty.
    pub fn reset(&mut self) {
        self.starts.clear();
    }

    /// How long the request behind `ahead` others will wait; `None` with too few samples.
    pub fn wait(
        &self,
        now: Moment,
        ahead: usize,
    ) -> Option<Duration> {
        if self.starts.len() < MIN_SAMPLES {
            return None;
        }
        let span = now.saturating_sub(*self.starts.front()?);
        Some(span.mul_f64(ahead as f64 / self.starts.len() as f64))
    }

    /// After how long a refused caller should retry.
    pub fn retry_after(
        &self,
        now: Moment,
        ahead: usize,
    ) -> Duration {
        let (min, max) = RETRY_BOUNDS;
        self.wait(now, ahead).unwrap_or(min).clamp(min, max)
    }
}
