use std::{sync::Arc, time::Duration};

/// The replica for a request, or the reason of its refusal.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    Send {
        replica: Arc<str>,
        prefill_tokens: u32,          // uncached prompt tokens
        fetch_from: Option<Arc<str>>, // replica to fetch cached tokens from
        queue_ms: f64,                // expected wait for queued work and for fetching
        pauses_ms: f64,               // weighted cost of late stream events
        expected: Duration,           // time to the first token, or to a plain answer
    },
    Refuse {
        reason: RefusalReason,
        retry_after: Duration,
    },
}

/// Why no replica was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The service has no usable replica.
    NoReplica,
    /// No replica of the service is in a region in which the request may be served.
    NoRegion,
    /// No replica of the service has the software version that began the stream.
    NoVersion,
    /// All replicas of the service are in cordoned zones, which get no new requests.
    Cordoned,
    /// All usable replicas of the service asked for backoff.
    Backoff,
    /// No replica can answer within the target latency.
    NoCapacity,
    /// The account is over its fair share, and the free capacity is reserved for others.
    OverShare,
}
