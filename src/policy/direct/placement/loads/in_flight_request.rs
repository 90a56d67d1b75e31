use {
    super::{ExpectedTimes, Load},
    crate::policy::Moment,
    std::{sync::Arc, time::Duration},
};

/// Identifies an in-flight request within this router.
pub type InFlightId = u64;

/// A request that was sent to a replica and is not answered completely.
#[derive(Debug, Clone)]
pub struct InFlightRequest {
    pub replica: Arc<str>,
    pub start_hash: u32, // hash of the replica's id and start time
    pub sent: Moment,
    pub is_counted: bool,    // against the slow-start limit of the replica
    pub load: Load,          // its current part of the router's load there
    pub prefill_tokens: u32, // uncached prompt tokens as of its sending
    pub expected: Option<ExpectedTimes>, // of a prompt, until its first token arrives
    pub overdue: Option<(Moment, Duration)>, // last check that found it late, and its wait then
}
