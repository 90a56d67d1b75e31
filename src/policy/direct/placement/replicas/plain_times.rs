use std::time::Duration;

/// Weight of a new sample in the moving means. The first samples have a larger one in the mean
/// run time.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Mean times of plain requests, which carry no prompt, at one replica.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlainTimes {
    pub work_ms: f64,  // mean run time, without the wait in the queue
    pub error_ms: f64, // mean lateness of answers beyond the expected time
    pub samples: u32,
}

impl PlainTimes {
    /// Adds an answered request.
    pub fn record(
        &mut self,
        run: PlainRun,
    ) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let took_ms = millis(run.took);
        let expected_ms = millis(run.expected);
        // Requests that waited count as well, since under overload there are no others.
        let run_fraction = 1.0 - millis(run.waited) / expected_ms.max(1.0);
        self.work_ms += weight * (took_ms * run_fraction.clamp(0.0, 1.0) - self.work_ms);
        let late_ms = (took_ms - expected_ms).max(0.0);
        self.error_ms += SAMPLE_WEIGHT * (late_ms - self.error_ms);
    }
}

/// Times of one answered plain request.
#[derive(Debug, Clone, Copy)]
pub struct PlainRun {
    pub took: Duration,
    pub expected: Duration,
    pub waited: Duration, // part of `expected` that it was to wait in the replica's queue
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
