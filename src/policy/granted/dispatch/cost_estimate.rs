/// Weight of a new cost in the moving average.
const WEIGHT: f64 = 0.1;

/// Exponential moving average of costs, in the unit in which they are observed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CostEstimate {
    mean: Option<f64>,
}

impl CostEstimate {
    /// The expected cost, or `default` before the first one is observed.
    pub fn expected(
        &self,
        default: f64,
    ) -> f64 {
        self.mean.unwrap_or(default)
    }

    /// Adds an observed cost.
    pub fn observe(
        &mut self,
        cost: f64,
    ) {
        self.mean = Some(match self.mean {
            None => cost,
            Some(mean) => mean + WEIGHT * (cost - mean),
        });
    }
}
