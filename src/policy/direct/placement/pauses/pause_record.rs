use {
    crate::policy::{Moment, placement::PauseEvidence},
    std::time::Duration,
};

/// Time constant of the decay of observations. The speed of an engine changes seldom.
const DECAY: Duration = Duration::from_secs(30);

/// Weight of the prior that streams run as long as the service's average, in streams.
const PRIOR_RUNS: f64 = 2.0;

/// Duration ratios are clipped to between this and its inverse.
const MAX_RATIO: f64 = 4.0;

/// Minimum observation before a change of the rate of late streams is reported.
const MIN_REPORT_WATCHED_S: f32 = 10.0;

/// Factor by which the rate must differ from the last reported one, in either direction.
const REPORTED_CHANGE: f32 = 3.0;

/// Rates below this, in late streams per second watched, count as equal.
const MIN_RATE: f32 = 0.05;

/// Minimum interval between two reports on one replica.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Late streams of one replica as observed by this router, compared to the number expected
/// from the replica's queued prefill. A stream is late if one of its pauses exceeds the target.
#[derive(Debug, Clone, Copy, Default)]
pub struct PauseRecord {
    expected: f64,  // late streams expected from the queue, decayed by age
    late: f64,      // late streams, decayed by age
    runs: f64,      // streams that ended regularly, decayed by age
    log_ratio: f64, // of these, the sum of ln(time taken / time expected of the service)
    updated: Moment,
    reported_rate: f32, // late streams per second watched
    reported_at: Moment,
}

impl PauseRecord {
    /// Adds expected and observed late streams.
    pub fn record_late(
        &mut self,
        now: Moment,
        expected: f64,
        late: f64,
    ) {
        self.decay(now);
        self.expected += expected;
        self.late += late;
    }

    /// Adds a stream that ended regularly, and ran `ratio` times as long as expected of the
    /// service.
    pub fn record_run(
        &mut self,
        now: Moment,
        ratio: f64,
    ) {
        self.decay(now);
        self.runs += 1.0;
        self.log_ratio += ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
    }

    /// Mean duration of the replica's streams, relative to the service's average.
    pub fn run_ratio(
        &self,
        now: Moment,
    ) -> f64 {
        let factor = self.decay_factor(now);
        (self.log_ratio * factor / (self.runs * factor + PRIOR_RUNS)).exp()
    }

    /// Expected and observed late streams, decayed until now.
    pub fn counts(
        &self,
        now: Moment,
    ) -> (f64, f64) {
        let factor = self.decay_factor(now);
        (self.expected * factor, self.late * factor)
    }

    /// The rate of late streams per second watched, if it differs markedly from the last
    /// reported one.
    pub fn rate_change(
        &mut self,
        now: Moment,
        evidence: PauseEvidence,
    ) -> Option<f32> {
        let is_early = now.saturating_sub(self.reported_at) < REPORT_INTERVAL;
        if evidence.watched_s < MIN_REPORT_WATCHED_S || is_early {
            return None;
        }
        let rate = evidence.late / evidence.watched_s;
        let (current, reported) = (rate.max(MIN_RATE), self.reported_rate.max(MIN_RATE));
        let has_changed =
            current > reported * REPORTED_CHANGE || reported > current * REPORTED_CHANGE;
        has_changed.then(|| {
            self.reported_rate = rate;
            self.reported_at = now;
            rate
        })
    }

    fn decay(
        &mut self,
        now: Moment,
    ) {
        let factor = self.decay_factor(now);
        self.expected *= factor;
        self.late *= factor;
        self.runs *= factor;
        self.log_ratio *= factor;
        self.updated = now;
    }

    fn decay_factor(
        &self,
        now: Moment,
    ) -> f64 {
        let age = now.saturating_sub(self.updated);
        (-age.as_secs_f64() / DECAY.as_secs_f64()).exp()
    }
}
