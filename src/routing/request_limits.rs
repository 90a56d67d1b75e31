use std::time::Duration;

/// Limits on requests and connections of callers, and the capacity of all engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestLimits {
    pub max_header_bytes: usize,          // request line and headers together
    pub max_body_bytes: usize,            // request body
    pub header_timeout: Duration,         // from the first byte of a head to its end
    pub idle_timeout: Duration,           // of a keep-alive connection between requests
    pub engine_tokens_per_s: Option<f64>, // throughput of all engines together, if configured
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            engine_tokens_per_s: None,
        }
    }
}
