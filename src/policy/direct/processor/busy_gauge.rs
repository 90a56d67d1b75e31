use std::time::Duration;

/// Moving average of the fraction of time in which the process was busy. Close to 1, new work
/// queues behind earlier work, long before timers fire late.
#[derive(Debug, Clone, Copy)]
pub struct BusyGauge {
    window: Duration,     // time constant of the average
    total_busy: Duration, // since the start of the process, at the last sample
    share: f64,           // 0 to 1
}

impl BusyGauge {
    /// A gauge that averages over about this time.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            total_busy: Duration::ZERO,
            share: 0.0,
        }
    }

    /// Adds a sample for the last `step`. `total_busy` is the time for which the process has
    /// been busy since its start.
    pub fn sample(
        &mut self,
        step: Duration,
        total_busy: Duration,
    ) {
        let busy = total_busy.saturating_sub(self.total_busy);
        self.total_busy = total_busy;
        if step.is_zero() {
            return;
        }
        let share = (busy.as_secs_f64() / step.as_secs_f64()).min(1.0);
        let weight = (step.as_secs_f64() / self.window.as_secs_f64()).min(1.0);
        self.share += (share - self.share) * weight;
    }

    /// The averaged fraction, 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }
}
