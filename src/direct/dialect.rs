use {
    super::cache_calls::CacheCalls,
    crate::policy::{ReplicaNotice, placement::PromptShape},
    hyper::{HeaderMap, StatusCode, header::HeaderName},
};

/// What the headers are called that callers and replicas speak.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    pub request_id: HeaderName, // of one attempt of a caller; echoed by replicas
    pub deadline_ms: HeaderName, // how long the caller waits, in milliseconds
    pub key: HeaderName,        // of the account; never shown to replicas
    pub account: HeaderName,    // its name, for the replica
    pub expected_replica: HeaderName, // the id that the replica must have
    pub not_run: HeaderName,    // a replica's word that it did not run a request
    pub signature: HeaderName,  // a replica's proof that an answer is its own
    pub last_event: HeaderName, // where a stream goes on
    pub fetch_from: HeaderName, // a replica that keeps more of the prompt
    pub system: Vec<HeaderName>, // a caller's own are not passed on
}

/// How callers and replicas are spoken to.
#[derive(Debug, Clone)]
pub struct Dialect {
    pub names: HeaderNames,
    /// What a request says of its prompt.
    pub prompt: fn(&HeaderMap) -> Option<PromptShape>,
    /// Whether a status tells a caller that its request did not run and never will.
    pub promises_not_run: fn(StatusCode) -> bool,
    /// What the head of an answer says of its replica.
    pub notice: fn(StatusCode, &HeaderMap) -> ReplicaNotice,
    /// How a replica is asked what it keeps.
    pub cache: CacheCalls,
}
