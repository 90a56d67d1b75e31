use {
    super::{PauseEstimate, late_fraction},
    std::time::Duration,
};

/// Pauses are ignored if both the fraction of late streams and the ratio of observed to
/// expected late streams are below this. The fraction alone does not suffice, since avoiding
/// late streams keeps it low.
const NEGLIGIBLE: f64 = 0.005;

/// Weight of the service's mean rate beside a replica's own, in seconds of observation.
const PRIOR_WATCHED_S: f64 = 5.0;

/// Weight of the service's mean susceptibility beside a replica's own, in expected late
/// streams.
const PRIOR_EXPECTED: f64 = 1.0;

/// Weight of the request's own lateness relative to that of a running stream. The former is
/// predicted more reliably than the effect of its prefill on other streams.
const OWN_WEIGHT: f64 = 2.0;

/// Expected cost of late stream events, for a request and for the streams that run already, at
/// the replicas of one service.
#[derive(Debug, Clone, Copy)]
pub struct PauseRisk {
    late_ms: f64,     // cost of a late stream: the target latency to its first event
    target_ms: f64,   // shortest target pause of the service's streams
    run_s: f64,       // expected duration of the request; 0 if it has no target pause
    rate: f64,        // of the service: late streams per second watched
    susceptible: f64, // of the service: observed late streams per expected one
}

impl PauseRisk {
    /// Combines the estimates of all replicas of a service, whose streams run for `mean_run_s`
    /// on average. Returns none if hardly any stream is late.
    pub fn new(
        target_latency: Duration,
        target_pause: Duration,
        run_s: f64,
        mean_run_s: f64,
        estimates: impl Iterator<Item = PauseEstimate>,
    ) -> Option<Self> {
        let mut all = PauseEstimate::default();
        for estimate in estimates {
            all.watched_s += estimate.watched_s;
            all.late += estimate.late;
            all.expected += estimate.expected;
            all.observed += estimate.observed;
        }
        let rate = all.late / (all.watched_s + PRIOR_WATCHED_S);
        let late_fraction = 1.0 - (-rate * mean_run_s).exp();
        let susceptible = all.observed / (all.expected + PRIOR_EXPECTED);
        (late_fraction > NEGLIGIBLE || susceptible > NEGLIGIBLE).then_some(Self {
            late_ms: target_latency.as_secs_f64() * 1000.0,
            target_ms: target_pause.as_secs_f64() * 1000.0,
            run_s,
            rate,
            susceptible,
        })
    }

    /// Expected cost of the request's own late events at a replica, in milliseconds.
    pub fn own_ms(
        &self,
        estimate: PauseEstimate,
    ) -> f64 {
        let watched_s = estimate.watched_s + PRIOR_WATCHED_S;
        let rate = (estimate.late + self.rate * PRIOR_WATCHED_S) / watched_s;
        let run_s = self.run_s * estimate.run_ratio;
        (1.0 - (-rate * run_s).exp()) * self.late_ms * OWN_WEIGHT
    }

    /// Expected number of streams running at a replica that become late because of the
    /// request's prefill of `own_ms`, after `queue_ms` of queued prefill.
    pub fn others_late(
        &self,
        estimate: PauseEstimate,
        running: u32,
        queue_ms: f64,
        own_ms: f64,
    ) -> f64 {
        let share = |block_ms| late_fraction(block_ms, self.target_ms);
        let added = share(queue_ms + own_ms) - share(queue_ms);
        let expected = estimate.expected + PRIOR_EXPECTED;
        let susceptible = (estimate.observed + self.susceptible * PRIOR_EXPECTED) / expected;
        f64::from(running) * added * susceptible.min(1.0)
    }

    /// Cost of this many late streams, in milliseconds.
    pub fn cost_ms(
        &self,
        late: f64,
    ) -> f64 {
        late * self.late_ms
    }
}
