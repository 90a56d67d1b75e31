use {
    super::PauseRecord,
    crate::policy::{Moment, placement::PauseEvidence},
};

/// What is believed of the pauses at one replica, as of a look at what was seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct PauseSight {
    pub watched_s: f64, // seconds of streams, by this router and its fellows
    pub broken: f64,    // streams that paused for too long meanwhile
    pub expected: f64,  // streams that should have, by what was in front
    pub came: f64,      // of these, how many did
    pub run_ratio: f64, // how many times as long as is usual streams run there
}

impl PauseSight {
    /// A look at what was seen.
    pub fn new(
        now: Moment,
        seen: PauseEvidence,
        record: &PauseRecord,
    ) -> Self {
        let (expected, came) = record.counts(now);
        Self {
            watched_s: seen.watched_s.into(),
            broken: seen.broken.into(),
            expected,
            came,
            run_ratio: record.run_ratio(now),
        }
    }
}
