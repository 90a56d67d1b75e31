use {
    crate::fleet::AccountId,
    crate::policy::{HostSet, Moment, PrefixHash},
};

/// A request that waits at its router for a grant.
#[derive(Debug, Clone)]
pub struct WaitingRequest {
    pub id: u64, // in order of arrival
    pub account: AccountId,
    pub arrived: Moment,
    pub deadline: Moment, // by which it must have started
    pub bytes: u64,       // held in memory
    pub hosts: HostSet,   // that may serve it, sorted
    pub prefix: Option<PrefixHash>,
}
