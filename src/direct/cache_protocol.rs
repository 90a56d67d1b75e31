use {
    crate::{
        callers::RequestBodyReader,
        codes::Fault,
        policy::placement::{CacheEventBatch, CachedPart},
    },
    hyper::Request,
    std::time::Duration,
};

/// Builds the requests for the contents of a replica's prompt cache, and parses the answers.
#[derive(Debug, Clone, Copy)]
pub struct CacheProtocol {
    /// Builds the request for all cached parts, without its `Host` header.
    pub list_request: fn() -> Request<RequestBodyReader>,
    /// Parses the answer. Fails with `ResultCode::PlatformReply`.
    pub parse_list: fn(&[u8]) -> Result<Vec<CachedPart>, Fault>,
    /// Builds the long-polling request for cache events from a number on, which the replica
    /// answers at the first event or after the given time; without its `Host` header.
    pub events_request: fn(u64, Duration) -> Request<RequestBodyReader>,
    /// Parses the answer to a request for events from that number on. Fails with
    /// `ResultCode::PlatformReply`.
    pub parse_events: fn(u64, &[u8]) -> Result<CacheEventBatch, Fault>,
}
