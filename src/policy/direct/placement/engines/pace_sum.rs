use {
    serde::{Deserialize, Serialize},
    std::{
        ops::{AddAssign, SubAssign},
        time::Duration,
    },
};

/// Samples are clipped to between this ratio and its inverse, so that one request that hangs
/// does not dominate the sum.
const MAX_RATIO: f64 = 8.0;

/// Error of expected times of any length. A sample with an expected time as short as this has
/// half the weight.
const HALF_WEIGHT_MS: f64 = 30.0;

/// Upper bound on the weight of valid sums, more than a router can collect of one replica
/// before the samples decay.
const MAX_WEIGHT: f32 = 1e5;

/// Tolerance for rounding errors of sums after additions and subtractions.
const ROUNDING: f32 = 0.1;

/// Decaying sum of samples of a replica's pace: the ratio of the time to first token to the
/// expected time at the service's engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PaceSum {
    pub weight: f32,    // weight of the samples, decayed by age
    pub log_ratio: f32, // weighted sum of ln(time taken / time expected)
}

impl PaceSum {
    /// The sample of a first token that arrived, or is still awaited, after `took`.
    pub fn sample(
        took: Duration,
        expected_ms: f64,
    ) -> Self {
        let expected_ms = expected_ms.max(1.0);
        let ratio = took.as_secs_f64() * 1000.0 / expected_ms;
        let log_ratio = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        let weight = expected_ms / (expected_ms + HALF_WEIGHT_MS);
        Self {
            weight: weight as f32,
            log_ratio: (weight * log_ratio) as f32,
        }
    }

    /// Whether the sum lies within bounds that real samples, also relative to a baseline,
    /// cannot exceed.
    pub fn is_possible(self) -> bool {
        let max = 2.0 * MAX_RATIO.ln() as f32 * self.weight + ROUNDING;
        (0.0..=MAX_WEIGHT).contains(&self.weight) && self.log_ratio.abs() <= max
    }

    /// The sum after exponential decay over `age` with this time constant.
    pub fn decayed(
        self,
        age: Duration,
        time_constant: Duration,
    ) -> Self {
        let factor = (-age.as_secs_f32() / time_constant.as_secs_f32()).exp();
        Self {
            weight: self.weight * factor,
            log_ratio: self.log_ratio * factor,
        }
    }

    /// The same relative to a baseline ratio, given by its logarithm.
    pub fn relative_to(
        self,
        log_baseline: f32,
    ) -> Self {
        Self {
            log_ratio: self.log_ratio - self.weight * log_baseline,
            ..self
        }
    }

    /// The mean logarithm of the ratio, with `prior_samples` more samples of 0.
    pub fn mean(
        self,
        prior_samples: f32,
    ) -> f32 {
        self.log_ratio / (self.weight + prior_samples)
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
