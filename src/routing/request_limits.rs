use std::time::Duration;

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestLimits {
    pub max_header_bytes: usize,   // request line and headers
    pub max_body_bytes: usize,     // request body
    pub header_timeout: Duration,  // for a whole head, once it has begun
    pub idle_timeout: Duration,    // a kept connection at rest
    pub tokens_per_s: Option<f64>, // what all engines together make, if told
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            tokens_per_s: None,
        }
    }
}
