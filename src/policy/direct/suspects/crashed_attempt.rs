use {super::SignedMoment, crate::policy::Moment, std::time::Duration};

/// An attempt whose events had arrived for longer than this when its replica crashed is unlikely
/// to be the cause: five times the longest time (102 ms) that was seen from the start of an
/// attempt that crashes its replica to that crash.
const EARLY_WINDOW: Duration = Duration::from_millis(500);

/// An attempt at a request that was running when its replica crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashedAttempt {
    pub key: u32,                 // random, drawn by the router that saw the crash
    pub replica: u32,             // hash of the replica's id and start time
    pub started_at: SignedMoment, // when the request was sent to the replica
    pub crashed_at: SignedMoment, // when the replica crashed
    pub is_early: bool,           // no event had arrived, or only for a short time
    pub is_cleared: bool,         // the request got a complete answer since
}

impl CrashedAttempt {
    /// An attempt whose replica crashed `now`, as seen by this router.
    pub fn observed(
        key: u32,
        replica: u32,
        started_at: Moment,
        first_event: Option<Moment>,
        now: Moment,
    ) -> Self {
        let is_early = first_event.is_none_or(|first| now.saturating_sub(first) <= EARLY_WINDOW);
        Self {
            key,
            replica,
            started_at: started_at.into(),
            crashed_at: now.into(),
            is_early,
            is_cleared: false,
        }
    }
}
