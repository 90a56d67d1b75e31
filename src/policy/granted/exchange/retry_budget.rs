/// Retries that may be saved up at most.
const MAX_SAVED: f64 = 10.0;

/// Limits retries to a fraction of requests, so that failures cannot multiply the load.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    fraction: f64, // retries per request
    saved: f64,    // retries that may be made now
}

impl RetryBudget {
    /// A budget of `fraction` retries per request.
    pub fn new(fraction: f64) -> Self {
        Self {
            fraction,
            saved: MAX_SAVED * fraction.min(1.0),
        }
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + self.fraction).min(MAX_SAVED);
    }

    /// Takes one retry. Returns whether there was one left.
    pub fn try_take_retry(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
