use std::time::Duration;

/// Weight of a new sample that is shorter than what is believed.
const FALL: f64 = 0.3;

/// A timer this late means that the process stood still, and that what it knows
/// is as old: it counts at once.
const STOOD_STILL: Duration = Duration::from_secs(1);

/// How far a process is behind its own timers: how long what arrives waits for
/// the processor. Rises with the second late timer in a row, since one alone is
/// one long piece of work (some 190 ms at the start of a host with 0.19 of a
/// core), not a shortage; falls slowly.
#[derive(Debug, Clone, Copy, Default)]
pub struct LagGauge {
    lag: Duration,
    last: Duration, // how late the last timer was
}

impl LagGauge {
    /// A timer fired this much late.
    pub fn sample(
        &mut self,
        late: Duration,
    ) {
        let lasting = if late >= STOOD_STILL {
            late
        } else {
            late.min(self.last)
        };
        self.last = late;
        self.lag = if lasting > self.lag {
            lasting
        } else {
            self.lag - (self.lag - lasting).mul_f64(FALL)
        };
    }

    /// What is believed now.
    pub fn lag(&self) -> Duration {
        self.lag
    }
}
