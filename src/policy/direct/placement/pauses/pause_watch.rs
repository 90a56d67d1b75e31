use {
    crate::policy::{Moment, placement::PauseEvidence},
    std::time::Duration,
};

/// Interval at which the observations of a running stream are returned.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Measures the pauses of one stream until one exceeds the target. The stream counts as late
/// then, and its later pauses are ignored.
#[derive(Debug)]
pub struct PauseWatch {
    target_pause: Duration,
    reported_at: Moment,
    watched: Duration, // since the last report
    is_late: bool,
}

impl PauseWatch {
    /// Starts at the first event of a stream with this target pause.
    pub fn new(
        now: Moment,
        target_pause: Duration,
    ) -> Self {
        Self {
            target_pause,
            reported_at: now,
            watched: Duration::ZERO,
            is_late: false,
        }
    }

    /// The target pause; none once the stream is late.
    pub fn target_pause(&self) -> Option<Duration> {
        (!self.is_late).then_some(self.target_pause)
    }

    /// Records an event that arrived after waiting for the replica this long. Returns the
    /// observations when a report is due.
    pub fn record_event(
        &mut self,
        now: Moment,
        waited: Duration,
    ) -> Option<PauseEvidence> {
        if self.is_late {
            return None;
        }
        self.watched += waited;
        self.is_late = waited > self.target_pause;
        let is_due = now.saturating_sub(self.reported_at) >= REPORT_INTERVAL;
        (self.is_late || is_due).then(|| self.take(now))
    }

    /// Records that the current pause exceeds the target.
    pub fn record_overrun(
        &mut self,
        now: Moment,
    ) -> PauseEvidence {
        self.watched += self.target_pause;
        self.is_late = true;
        self.take(now)
    }

    /// Records the end of the stream at its replica. Returns the remaining observations.
    pub fn end(
        &mut self,
        now: Moment,
    ) -> Option<PauseEvidence> {
        let has_rest = !self.is_late && !self.watched.is_zero();
        has_rest.then(|| self.take(now))
    }

    fn take(
        &mut self,
        now: Moment,
    ) -> PauseEvidence {
        self.reported_at = now;
        PauseEvidence {
            watched_s: std::mem::take(&mut self.watched).as_secs_f32(),
            late: f32::from(u8::from(self.is_late)),
        }
    }
}
