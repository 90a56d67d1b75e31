use {
    super::cache_protocol::CacheProtocol,
    crate::policy::{ReplicaNotice, placement::PromptShape},
    hyper::{HeaderMap, StatusCode, header::HeaderName},
    std::time::Duration,
};

/// Names of the headers that callers and replicas use.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    pub request_id: HeaderName, // id of the caller's request; replicas echo it
    pub deadline_ms: HeaderName, // how long the caller waits, in milliseconds
    pub account_key: HeaderName, // the account's secret key; not sent to replicas
    pub account: HeaderName,    // the account's name, set for replicas
    pub expected_replica: HeaderName, // id of the replica that the request is meant for
    pub not_run: HeaderName,    // set by a replica that did not run the request
    pub signature: HeaderName,  // set by a replica on its own answers
    pub last_event: HeaderName, // id of the event after which a stream resumes
    pub resumes: HeaderName,    // id of the request that brought the first event of a stream
    pub fetch_from: HeaderName, // address of a replica that has more of the prompt cached
    pub reserved: Vec<HeaderName>, // set by the system only; removed from callers' requests
}

/// The protocol that callers and replicas use: header names and parsers.
#[derive(Debug, Clone)]
pub struct Dialect {
    pub names: HeaderNames,
    /// Reads the shape of a request's prompt.
    pub parse_prompt: fn(&HeaderMap) -> Option<PromptShape>,
    /// Whether callers take a status as a guarantee that the request did not run.
    pub promises_not_run: fn(StatusCode) -> bool,
    /// Reads what a replica announces about itself in the head of an answer.
    pub parse_notice: fn(StatusCode, &HeaderMap) -> ReplicaNotice,
    /// Reads from a replica's answer to a health check how long its slow start still takes.
    pub parse_slow_start: fn(&HeaderMap) -> Duration,
    /// Requests for the contents of a replica's prompt cache.
    pub cache: CacheProtocol,
}
