use {
    crate::policy::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// Starts that are remembered.
const SAMPLES: usize = 32;

/// Starts needed before the rate is trusted.
const TRUSTED: usize = 8;

/// The shortest and longest waits that a refusal names.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// How fast an account's requests leave the queue of one router.
#[derive(Debug, Clone, Default)]
pub struct DrainRate {
    starts: VecDeque<Moment>,
}

impl DrainRate {
    /// Notes that a request left the queue for an upstream.
    pub fn started(
        &mut self,
        now: Moment,
    ) {
        if self.starts.len() == SAMPLES {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Forgets the past, when the queue has been empty.
    pub fn reset(&mut self) {
        self.starts.clear();
    }

    /// How long the request behind `ahead` others will wait; none while too
    /// few have started to tell.
    pub fn wait(
        &self,
        now: Moment,
        ahead: usize,
    ) -> Option<Duration> {
        if self.starts.len() < TRUSTED {
            return None;
        }
        let span = now.saturating_sub(*self.starts.front()?);
        Some(span.mul_f64(ahead as f64 / self.starts.len() as f64))
    }

    /// When a refused caller should come back.
    pub fn retry_after(
        &self,
        now: Moment,
        ahead: usize,
    ) -> Duration {
        let (least, most) = RETRY_BOUNDS;
        self.wait(now, ahead).unwrap_or(least).clamp(least, most)
    }
}
