use std::time::Duration;

/// Weight of a new sample.
const WEIGHT: f64 = 0.1;

/// What plain requests are believed to take before one was answered.
const FIRST_GUESS_MS: f64 = 10.0;

/// What plain requests take at a replica, and how far off what is expected of them is.
#[derive(Debug, Clone, Copy)]
pub struct PlainTimes {
    pub work_ms: f64,  // moving mean, of those that did not wait
    pub error_ms: f64, // moving mean by which answers come later than expected
}

impl Default for PlainTimes {
    fn default() -> Self {
        Self {
            work_ms: FIRST_GUESS_MS,
            error_ms: 0.0,
        }
    }
}

impl PlainTimes {
    /// A request was answered, or refused, after this long.
    pub fn learn(
        &mut self,
        run: PlainRun,
    ) {
        let took_ms = run.took.as_secs_f64() * 1000.0;
        let late_ms = (took_ms - run.expected.as_secs_f64() * 1000.0).max(0.0);
        self.error_ms += WEIGHT * (late_ms - self.error_ms);
        if run.ran && !run.waits {
            self.work_ms += WEIGHT * (took_ms - self.work_ms);
        }
    }
}

/// How a plain request fared at a replica.
#[derive(Debug, Clone, Copy)]
pub struct PlainRun {
    pub took: Duration,
    pub expected: Duration,
    pub waits: bool, // others were believed to be in front of it
    pub ran: bool,   // or it was refused
}
