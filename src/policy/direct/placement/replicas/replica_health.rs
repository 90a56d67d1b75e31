use {crate::policy::Moment, std::time::Duration};

/// Outcomes that the failure rate remembers, roughly.
const MEMORY: f64 = 16.0;

/// Failures in a row after which a replica rests whatever its rate.
const ROW: u32 = 3;

/// The shortest and longest rest.
const REST: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(6));

/// Evidence for and against a replica, from requests that were sent to it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReplicaHealth {
    failure_rate: f64, // moving, 0 to 1
    row: u32,          // failures since the last success
    rests: u32,        // since the last success
    rest_until: Moment,
}

impl ReplicaHealth {
    /// A request ended well there.
    pub fn success(&mut self) {
        self.failure_rate -= self.failure_rate / MEMORY;
        self.row = 0;
        self.rests = 0;
    }

    /// A request failed there. `usual` is the failure rate of its fellows, so
    /// that a failure that all share ejects none.
    pub fn failure(
        &mut self,
        now: Moment,
        usual: f64,
    ) {
        self.failure_rate += (1.0 - self.failure_rate) / MEMORY;
        self.row += 1;
        let often = self.failure_rate > 2.0 * usual + 0.2;
        if self.row >= ROW || often {
            self.rest(now);
        }
    }

    /// Contact failed before anything was sent, or the replica is not the one
    /// that was expected.
    pub fn unreachable(
        &mut self,
        now: Moment,
    ) {
        self.row += 1;
        self.rest(now);
    }

    /// The replica had no room: it is left alone for a moment.
    pub fn full(
        &mut self,
        now: Moment,
        pause: Duration,
    ) {
        self.rest_until = self.rest_until.max(now + pause);
    }

    /// Whether it rests.
    pub fn rests(
        &self,
        now: Moment,
    ) -> bool {
        now < self.rest_until
    }

    /// Its share of failures, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn rest(
        &mut self,
        now: Moment,
    ) {
        let factor = 1u32 << self.rests.min(4);
        self.rest_until = now + (REST.0 * factor).min(REST.1);
        self.rests += 1;
    }
}
