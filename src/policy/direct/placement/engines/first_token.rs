use std::time::Duration;

/// Sample of the time to a first token.
#[derive(Debug, Clone, Copy)]
pub struct FirstToken {
    pub tokens: u32,    // uncached tokens of the prompt
    pub queue_ms: f64,  // expected wait for queued prefill and for fetching
    pub took: Duration, // from sending to the first token
}
