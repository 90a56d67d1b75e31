use {
    super::PauseRecord,
    crate::policy::{Moment, placement::PauseEvidence},
};

/// Snapshot of the pauses at one replica, from which [`PauseRisk`](super::PauseRisk) estimates
/// costs. A stream is late if one of its pauses exceeds the target.
#[derive(Debug, Clone, Copy, Default)]
pub struct PauseEstimate {
    pub watched_s: f64, // seconds of streams, observed by all routers of the zone
    pub late: f64,      // late streams in that time
    pub expected: f64,  // late streams expected from the queue, by this router alone
    pub observed: f64,  // late streams observed by this router alone
    pub run_ratio: f64, // mean stream duration relative to the service's average
}

impl PauseEstimate {
    /// Takes a snapshot of the zone's evidence and this router's own record.
    pub fn new(
        now: Moment,
        evidence: PauseEvidence,
        record: &PauseRecord,
    ) -> Self {
        let (expected, observed) = record.counts(now);
        Self {
            watched_s: evidence.watched_s.into(),
            late: evidence.late.into(),
            expected,
            observed,
            run_ratio: record.run_ratio(now),
        }
    }
}
