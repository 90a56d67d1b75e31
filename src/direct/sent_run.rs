use {
    crate::{catalog::UpstreamEntry, policy::Moment},
    std::sync::Arc,
};

/// The attempt of a call that was sent last: where to, and how far it came.
pub struct SentRun {
    pub entry: Arc<UpstreamEntry>,
    pub sent: Moment,
    pub waits: bool,                 // believed to wait there before it runs
    pub first_event: Option<Moment>, // when its first whole event came
}

impl SentRun {
    /// An attempt of which nothing has come back.
    pub fn new(
        entry: Arc<UpstreamEntry>,
        sent: Moment,
        waits: bool,
    ) -> Self {
        Self {
            entry,
            sent,
            waits,
            first_event: None,
        }
    }
}
