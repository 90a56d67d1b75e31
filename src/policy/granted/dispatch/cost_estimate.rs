/// How fast the estimate follows new costs.
const WEIGHT: f64 = 0.1;

/// A moving estimate of what a request of an account costs, in service units.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CostEstimate {
    mean: Option<f64>,
}

impl CostEstimate {
    /// The expected cost, or `unseen` before the first request has ended.
    pub fn expected(
        &self,
        unseen: f64,
    ) -> f64 {
        self.mean.unwrap_or(unseen)
    }

    /// Takes in what a request cost.
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
