use {
    crate::{
        codes::Fault,
        policy::placement::{CacheEventBatch, CachedPart},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::Request,
    std::time::Duration,
};

/// How a replica is asked which parts of prompts it keeps.
#[derive(Debug, Clone, Copy)]
pub struct CacheCalls {
    /// The question for all of them, but for its host.
    pub list: fn() -> Request<Full<Bytes>>,
    /// Reads the answer: code 82.
    pub read_list: fn(&[u8]) -> Result<Vec<CachedPart>, Fault>,
    /// The question for what changed from an event's number on, held for some time until
    /// there is something, but for its host.
    pub events: fn(u64, Duration) -> Request<Full<Bytes>>,
    /// Reads the answer to the question from that number on: code 82.
    pub read_events: fn(u64, &[u8]) -> Result<CacheEventBatch, Fault>,
}
