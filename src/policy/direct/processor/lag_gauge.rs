use std::time::Duration;

/// Weight of a new sample that is below the current estimate.
const DECREASE_WEIGHT: f64 = 0.3;

/// A timer this late means that the process was suspended and that its state is equally old, so
/// it counts at once, without a second late timer.
const MIN_SUSPENSION: Duration = Duration::from_secs(1);

/// Estimates how late the process runs its timers, which is how long new work waits for the CPU.
/// It rises with the second late timer in a row, since a single one may be one long computation
/// (some 190 ms at the start of a host with 0.19 of a core) and no overload; it falls slowly.
#[derive(Debug, Clone, Copy, Default)]
pub struct LagGauge {
    lag: Duration,
    last_late: Duration, // how late the last timer was
}

impl LagGauge {
    /// Records that a timer fired `late` after its time.
    pub fn sample(
        &mut self,
        late: Duration,
    ) {
        let sustained = if late >= MIN_SUSPENSION {
            late
        } else {
            late.min(self.last_late)
        };
        self.last_late = late;
        self.lag = if sustained > self.lag {
            sustained
        } else {
            self.lag - (self.lag - sustained).mul_f64(DECREASE_WEIGHT)
        };
    }

    /// The current estimate.
    pub fn lag(&self) -> Duration {
        self.lag
    }
}
