use std::time::Instant;

/// The time for which a stand-in replica worked on one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRun {
    pub request_id: String, // attempt id that the client set
    pub began: Instant,
    pub ended: Option<Instant>, // none while it runs
}
