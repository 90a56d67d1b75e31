use std::time::Duration;

/// Over what time the share is averaged, roughly.
const WINDOW: Duration = Duration::from_millis(500);

/// The part of the time in which a process had work for its processor. Near 1,
/// what arrives waits behind what is there, long before timers fire late.
#[derive(Debug, Clone, Copy, Default)]
pub struct BusyGauge {
    worked: Duration, // in all, at the last sample
    share: f64,       // 0 to 1
}

impl BusyGauge {
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
        let weight = (step.as_secs_f64() / WINDOW.as_secs_f64()).min(1.0);
        self.share += (share - self.share) * weight;
    }

    /// What is believed now.
    pub fn share(&self) -> f64 {
        self.share
    }
}
