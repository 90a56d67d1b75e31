use {
    super::{PauseSight, broken_share},
    std::time::Duration,
};

/// Where less than this part of the streams pauses for too long, and of the pauses that
/// should break, pauses are no matter. Both, since what is done about them keeps the
/// first down.
const NEGLIGIBLE: f64 = 0.005;

/// Seconds of watching for which a service's mean counts beside what was seen at one of
/// its replicas.
const MEAN_WATCHED: f64 = 5.0;

/// The same in pauses that should have broken.
const MEAN_EXPECTED: f64 = 1.0;

/// A request that is late itself counts for so many of those that it makes late: whether
/// it will be is known better than what its reading does to others.
const OWN_WEIGHT: f64 = 2.0;

/// What a request would lose by pauses, or take from others by them, at the replicas of
/// its service.
#[derive(Debug, Clone, Copy)]
pub struct PauseRisk {
    late_ms: f64,     // what a late answer costs: the aim to its first event
    pause_ms: f64,    // the shortest longest pause that is in time, of those that run there
    run_s: f64,       // how long the request is expected to run; 0 if its pauses are no matter
    rate: f64,        // of the service: streams a second that break
    susceptible: f64, // of the service: pauses that break, of those that should
}

impl PauseRisk {
    /// Weighs what was seen at all replicas of a service, whose streams usually run for
    /// `usual_s` seconds. None where hardly a pause breaks.
    pub fn new(
        aim: Duration,
        pause_aim: Duration,
        run_s: f64,
        usual_s: f64,
        seen: impl Iterator<Item = PauseSight>,
    ) -> Option<Self> {
        let mut all = PauseSight::default();
        for sight in seen {
            all.watched_s += sight.watched_s;
            all.broken += sight.broken;
            all.expected += sight.expected;
            all.came += sight.came;
        }
        let rate = all.broken / (all.watched_s + MEAN_WATCHED);
        let part = 1.0 - (-rate * usual_s).exp();
        let susceptible = all.came / (all.expected + MEAN_EXPECTED);
        (part > NEGLIGIBLE || susceptible > NEGLIGIBLE).then_some(Self {
            late_ms: aim.as_secs_f64() * 1000.0,
            pause_ms: pause_aim.as_secs_f64() * 1000.0,
            run_s,
            rate,
            susceptible,
        })
    }

    /// What the request's own pauses are expected to cost at a replica, in milliseconds.
    pub fn own_ms(
        &self,
        sight: PauseSight,
    ) -> f64 {
        let watched = sight.watched_s + MEAN_WATCHED;
        let rate = (sight.broken + self.rate * MEAN_WATCHED) / watched;
        let run_s = self.run_s * sight.run_ratio;
        (1.0 - (-rate * run_s).exp()) * self.late_ms * OWN_WEIGHT
    }

    /// How many of the streams that run at a replica are expected to pause for too long
    /// since the request is read there for `own_ms`, behind `front_ms` of others' reading.
    pub fn others_late(
        &self,
        sight: PauseSight,
        running: u32,
        front_ms: f64,
        own_ms: f64,
    ) -> f64 {
        let share = |block_ms| broken_share(block_ms, self.pause_ms);
        let more = share(front_ms + own_ms) - share(front_ms);
        let expected = sight.expected + MEAN_EXPECTED;
        let susceptible = (sight.came + self.susceptible * MEAN_EXPECTED) / expected;
        f64::from(running) * more * susceptible.min(1.0)
    }

    /// What so many late answers cost, in milliseconds.
    pub fn cost_ms(
        &self,
        late: f64,
    ) -> f64 {
        late * self.late_ms
    }
}
