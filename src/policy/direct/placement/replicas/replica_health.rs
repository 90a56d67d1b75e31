use {crate::policy::Moment, std::time::Duration};

/// Outcomes after which the weight of an older one in the failure rate has decayed to 1/e.
const DECAY_OUTCOMES: f64 = 16.0;

/// Consecutive failures after which a replica is ejected whatever its failure rate.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// The shortest and longest ejection. It doubles with each one that no success precedes.
const EJECTION_BOUNDS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(6));

/// Outlier detection for one replica, from the outcomes of its requests. An ejected replica
/// gets no requests for some time.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReplicaHealth {
    failure_rate: f64,         // moving mean, 0 to 1
    consecutive_failures: u32, // since the last success
    ejections: u32,            // since the last success
    ejected_until: Moment,
}

impl ReplicaHealth {
    /// Records a request that succeeded.
    pub fn record_success(&mut self) {
        self.failure_rate -= self.failure_rate / DECAY_OUTCOMES;
        self.consecutive_failures = 0;
        self.ejections = 0;
    }

    /// Records a request that failed. `median_rate` is the median failure rate of the other
    /// replicas; a rate that is common to all of them ejects none.
    pub fn record_failure(
        &mut self,
        now: Moment,
        median_rate: f64,
    ) {
        self.failure_rate += (1.0 - self.failure_rate) / DECAY_OUTCOMES;
        self.consecutive_failures += 1;
        let is_outlier = self.failure_rate > 2.0 * median_rate + 0.2;
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES || is_outlier {
            self.eject(now);
        }
    }

    /// Ejects a replica that could not be connected to, or that turned out to be another one.
    pub fn record_unreachable(
        &mut self,
        now: Moment,
    ) {
        self.consecutive_failures += 1;
        self.eject(now);
    }

    /// Ejects a replica for this time, without counting a failure, because it has no free
    /// capacity.
    pub fn record_overload(
        &mut self,
        now: Moment,
        ejection: Duration,
    ) {
        self.ejected_until = self.ejected_until.max(now + ejection);
    }

    /// Whether the replica is ejected.
    pub fn is_ejected(
        &self,
        now: Moment,
    ) -> bool {
        now < self.ejected_until
    }

    /// Moving mean of failures, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn eject(
        &mut self,
        now: Moment,
    ) {
        let factor = 1u32 << self.ejections.min(4);
        self.ejected_until = now + (EJECTION_BOUNDS.0 * factor).min(EJECTION_BOUNDS.1);
        self.ejections += 1;
    }
}
