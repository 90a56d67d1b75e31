use {
    super::{call::Call, exchange_suspects::InterruptedAttempt, gateway::Gateway},
    crate::{
        catalog::UpstreamEntry,
        policy::{Moment, placement::PlainRun},
    },
    std::{sync::Arc, time::Duration},
};

/// The latest attempt of a call and its progress. Dropping it before the replica answered,
/// refused or crashed records the attempt as abandoned.
pub struct SentAttempt {
    pub entry: Arc<UpstreamEntry>,
    pub sent_at: Moment,
    pub expected: Duration, // estimated time to the answer, or to its first event
    pub queue_wait: Duration, // of `expected`, behind earlier requests
    pub first_event_at: Option<Moment>, // when the first whole event arrived
    pub has_survived: bool, // its replica is known to live on after it began to answer
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    is_finished: bool, // at the replica
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        if !self.is_finished {
            let attempt = self.interrupted(self.gateway.now());
            self.gateway.record_abandoned(attempt);
        }
    }
}

impl SentAttempt {
    /// An attempt that is sent now.
    pub fn new(
        gateway: Arc<Gateway>,
        call: Arc<Call>,
        entry: Arc<UpstreamEntry>,
        expected: Duration,
        queue_wait: Duration,
    ) -> Self {
        Self {
            entry,
            sent_at: gateway.now(),
            expected,
            queue_wait,
            first_event_at: None,
            has_survived: false,
            gateway,
            call,
            is_finished: false,
        }
    }

    /// Records that the replica no longer works on it: it answered, refused or crashed.
    pub fn finish(&mut self) {
        self.is_finished = true;
    }

    /// The attempt as interrupted by a crash of its replica at `now`.
    pub fn interrupted(
        &self,
        now: Moment,
    ) -> InterruptedAttempt {
        InterruptedAttempt {
            call: self.call.clone(),
            entry: self.entry.clone(),
            sent_at: self.sent_at,
            first_event_at: self.first_event_at,
            interrupted_at: now,
        }
    }

    /// The timing of a plain request that is answered at `now`.
    pub fn plain_run(
        &self,
        now: Moment,
    ) -> PlainRun {
        PlainRun {
            took: now.saturating_sub(self.sent_at),
            expected: self.expected,
            waited: self.queue_wait,
        }
    }
}
