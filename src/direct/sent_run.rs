use {
    crate::{
        catalog::UpstreamEntry,
        policy::{Moment, placement::PlainRun},
    },
    std::{sync::Arc, time::Duration},
};

/// The attempt of a call that was sent last: where to, and how far it came.
pub struct SentRun {
    pub entry: Arc<UpstreamEntry>,
    pub sent: Moment,
    pub expected: Duration,          // until its answer, or its first event
    pub waits: Duration,             // of that, behind others
    pub first_event: Option<Moment>, // when its first whole event came
}

impl SentRun {
    /// An attempt of which nothing has come back.
    pub fn new(
        entry: Arc<UpstreamEntry>,
        sent: Moment,
        expected: Duration,
        waits: Duration,
    ) -> Self {
        Self {
            entry,
            sent,
            expected,
            waits,
            first_event: None,
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
