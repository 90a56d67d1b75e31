/// Expected times of a prompt as of its sending, at an engine of the service's average speed.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedTimes {
    pub queue_ms: f64, // queued prefill ahead of it, and fetching of cached tokens
    pub first_ms: f64, // from sending to its first token, the queue included
}
