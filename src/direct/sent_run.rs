use {
    super::{call::Call, exchange_suspects::EndedRun, gateway::Gateway},
    crate::{
        catalog::UpstreamEntry,
        policy::{Moment, placement::PlainRun},
    },
    std::{sync::Arc, time::Duration},
};

/// The attempt of a call that was sent last: where to, and how far it came. One that is
/// dropped before its replica answered, refused or ended was left.
pub struct SentRun {
    pub entry: Arc<UpstreamEntry>,
    pub sent: Moment,
    pub expected: Duration,          // until its answer, or its first event
    pub waits: Duration,             // of that, behind others
    pub first_event: Option<Moment>, // when its first whole event came
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    is_over: bool, // at its replica
}

impl Drop for SentRun {
    fn drop(&mut self) {
        if !self.is_over {
            let ended = self.ended(self.gateway.now());
            self.gateway.note_left(ended);
        }
    }
}

impl SentRun {
    /// An attempt of which nothing has come back.
    pub fn new(
        gateway: Arc<Gateway>,
        call: Arc<Call>,
        entry: Arc<UpstreamEntry>,
        expected: Duration,
        waits: Duration,
    ) -> Self {
        Self {
            entry,
            sent: gateway.now(),
            expected,
            waits,
            first_event: None,
            gateway,
            call,
            is_over: false,
        }
    }

    /// Nothing of it goes on at its replica: that answered, refused it or ended.
    pub fn is_over(&mut self) {
        self.is_over = true;
    }

    /// What is known of it if its replica ended now.
    pub fn ended(
        &self,
        now: Moment,
    ) -> EndedRun {
        EndedRun {
            call: self.call.clone(),
            entry: self.entry.clone(),
            sent: self.sent,
            first_event: self.first_event,
            ended: now,
        }
    }

    /// How it fares as a plain request that ends now.
    pub fn plain(
        &self,
        now: Moment,
    ) -> PlainRun {
        PlainRun {
            took: now.saturating_sub(self.sent),
            expected: self.expected,
            waited: self.waits,
        }
    }
}
