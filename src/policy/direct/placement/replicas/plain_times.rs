use std::time::Duration;

/// Weight of a new sample, once there are some.
const WEIGHT: f64 = 0.1;

/// What plain requests take at a replica, and how far off what is expected of them is.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlainTimes {
    pub work_ms: f64,  // moving mean, without what they waited
    pub error_ms: f64, // moving mean by which answers come later than expected
    pub samples: u32,
}

impl PlainTimes {
    /// A request was answered.
    pub fn learn(
        &mut self,
        run: PlainRun,
    ) {
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.samples));
        let took_ms = millis(run.took);
        let expected_ms = millis(run.expected);
        // Of those that waited too: under overload there are no others, and the first guess
        // would stand for as long as it lasts.
        let work_part = 1.0 - millis(run.waited) / expected_ms.max(1.0);
        self.work_ms += weight * (took_ms * work_part.clamp(0.0, 1.0) - self.work_ms);
        let late_ms = (took_ms - expected_ms).max(0.0);
        self.error_ms += WEIGHT * (late_ms - self.error_ms);
    }
}

/// How a plain request fared at a replica.
#[derive(Debug, Clone, Copy)]
pub struct PlainRun {
    pub took: Duration,
    pub expected: Duration,
    pub waited: Duration, // of that, behind others, as was believed
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
