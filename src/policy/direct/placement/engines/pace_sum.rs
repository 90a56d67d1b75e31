use {
    serde::{Deserialize, Serialize},
    std::{
        ops::{AddAssign, SubAssign},
        time::Duration,
    },
};

/// How many times longer or shorter than expected one first token may count, so that one
/// that hung says little of the next.
const MOST_RATIO: f64 = 8.0;

/// How far off expected times are, in milliseconds, whatever they are: one as short as this
/// counts half.
const UNSURE_MS: f64 = 30.0;

/// More first tokens than a router sees of one replica before they fade.
const MOST_WEIGHT: f32 = 1e5;

/// What sums that were added and subtracted may be off.
const ROUNDING: f32 = 0.1;

/// Sums over first tokens of how much longer they took than a service's engines usually do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PaceSum {
    pub weight: f32,    // samples, faded by age
    pub log_ratio: f32, // weighted sum of ln(time taken / time expected of the service)
}

impl PaceSum {
    /// One first token that took some time, or has been waited for that long.
    pub fn sample(
        took: Duration,
        expected_ms: f64,
    ) -> Self {
        let expected_ms = expected_ms.max(1.0);
        let ratio = took.as_secs_f64() * 1000.0 / expected_ms;
        let log_ratio = ratio.clamp(1.0 / MOST_RATIO, MOST_RATIO).ln();
        let weight = expected_ms / (expected_ms + UNSURE_MS);
        Self {
            weight: weight as f32,
            log_ratio: (weight * log_ratio) as f32,
        }
    }

    /// Whether first tokens can have shown it, also beside what is usual.
    pub fn is_possible(self) -> bool {
        let most = 2.0 * MOST_RATIO.ln() as f32 * self.weight + ROUNDING;
        (0.0..=MOST_WEIGHT).contains(&self.weight) && self.log_ratio.abs() <= most
    }

    /// What is left of it after some time; `fades` leaves a third.
    pub fn faded(
        self,
        age: Duration,
        fades: Duration,
    ) -> Self {
        let factor = (-age.as_secs_f32() / fades.as_secs_f32()).exp();
        Self {
            weight: self.weight * factor,
            log_ratio: self.log_ratio * factor,
        }
    }

    /// The same beside another usual ratio, given by its logarithm.
    pub fn beside(
        self,
        usual: f32,
    ) -> Self {
        Self {
            log_ratio: self.log_ratio - self.weight * usual,
            ..self
        }
    }

    /// The logarithm of the ratio that it speaks for, where `prior` samples spoke for 0.
    pub fn mean(
        self,
        prior: f32,
    ) -> f32 {
        self.log_ratio / (self.weight + prior)
    }
}

impl AddAssign for PaceSum {
    fn add_assign(
        &mut self,
        other: Self,
    ) {
        self.weight += other.weight;
        self.log_ratio += other.log_ratio;
    }
}

impl SubAssign for PaceSum {
    fn sub_assign(
        &mut self,
        other: Self,
    ) {
        self.weight = (self.weight - other.weight).max(0.0);
        self.log_ratio -= other.log_ratio;
    }
}
