use std::time::Duration;

/// Weight of a new sample that is shorter than what is believed.
const FALL: f64 = 0.3;

/// How far a process is behind its own timers: how long what arrives waits for
/// the processor. Rises at once, falls slowly.
#[derive(Debug, Clone, Copy, Default)]
pub struct LagGauge {
    lag: Duration,
}

impl LagGauge {
    /// A timer fired this much late.
    pub fn sample(
        &mut self,
        late: Duration,
    ) {
        self.lag = if late > self.lag {
            late
        } else {
            self.lag - (self.lag - late).mul_f64(FALL)
        };
    }

    /// What is believed now.
    pub fn lag(&self) -> Duration {
        self.lag
    }
}
