use {
    super::{PauseRecord, broken_share},
    crate::policy::{Moment, placement::PauseEvidence},
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
    now: Moment,
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
        now: Moment,
        aim: Duration,
        pause_aim: Duration,
        run_s: f64,
        usual_s: f64,
        seen: impl Iterator<Item = (PauseEvidence, PauseRecord)>,
    ) -> Option<Self> {
        let mut all = PauseEvidence::default();
        let (mut expected, mut broken) = (0.0, 0.0);
        for (evidence, record) in seen {
            all += evidence;
            let counts = record.counts(now);
            expected += counts.0;
            broken += counts.1;
        }
        let rate = f64::from(all.broken) / (f64::from(all.watched_s) + MEAN_WATCHED);
        let part = 1.0 - (-rate * usual_s).exp();
        let susceptible = broken / (expected + MEAN_EXPECTED);
        (part > NEGLIGIBLE || susceptible > NEGLIGIBLE).then_some(Self {
            now,
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
        seen: PauseEvidence,
        record: PauseRecord,
    ) -> f64 {
        let watched = f64::from(seen.watched_s) + MEAN_WATCHED;
        let rate = (f64::from(seen.broken) + self.rate * MEAN_WATCHED) / watched;
        let run_s = self.run_s * record.run_ratio(self.now);
        (1.0 - (-rate * run_s).exp()) * self.late_ms * OWN_WEIGHT
    }

    /// What reading the request for `own_ms`, behind `front_ms` of others' reading, is
    /// expected to cost the streams that run at a replica, in milliseconds.
    pub fn others_ms(
        &self,
        record: PauseRecord,
        running: u32,
        front_ms: f64,
        own_ms: f64,
    ) -> f64 {
        let share = |block_ms| broken_share(block_ms, self.pause_ms);
        let more = share(front_ms + own_ms) - share(front_ms);
        let (expected, broken) = record.counts(self.now);
        let susceptible = (broken + self.susceptible * MEAN_EXPECTED) / (expected + MEAN_EXPECTED);
        f64::from(running) * more * susceptible.min(1.0) * self.late_ms
    }
}
