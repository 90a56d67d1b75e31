use std::time::Duration;

/// The part of the time in which a process had work for its processor. Near 1,
/// what arrives waits behind what is there, long before timers fire late.
#[derive(Debug, Clone, Copy)]
pub struct BusyGauge {
    window: Duration, // over which the share is averaged, roughly
    worked: Duration, // in all, at the last sample
    share: f64,       // 0 to 1
}

impl BusyGauge {
    /// A gauge that averages over this time.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            worked: Duration::ZERO,
            share: 0.0,
        }
    }

    /// A step of time passed. `worked` is the time that the process has worked
    /// since its start.
    pub fn sample(
        &mut self,
        step: Duration,
        worked: Duration,
    ) {
        let now = worked.saturating_sub(self.worked);
        self.worked = worked;
        if step.is_zero() {
            return;
        }
        let share = (now.as_secs_f64() / step.as_secs_f64()).min(1.0);
        let weight = (step.as_secs_f64() / self.window.as_secs_f64()).min(1.0);
        self.share += (share - self.share) * weight;
    }

    /// What is believed now.
    pub fn share(&self) -> f64 {
        self.share
    }
}
