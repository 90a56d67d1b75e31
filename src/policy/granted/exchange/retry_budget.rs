/// The most retries that may be saved up, in requests.
const BURST: f64 = 10.0;

/// Bounds retries to a fraction of requests, so that failures cannot multiply
/// the load.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    fraction: f64,
    saved: f64, // retries that may be made now
}

impl RetryBudget {
    /// A budget of `fraction` retries per request.
    pub fn new(fraction: f64) -> Self {
        Self {
            fraction,
            saved: BURST * fraction.min(1.0),
        }
    }

    /// Counts a first attempt.
    pub fn request(&mut self) {
        self.saved = (self.saved + self.fraction).min(BURST);
    }

    /// Takes one retry, if there is one left.
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
