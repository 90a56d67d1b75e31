use std::time::Duration;

/// A first token that came from an engine.
#[derive(Debug, Clone, Copy)]
pub struct FirstToken {
    pub tokens: u32,    // of its prompt that were read
    pub front_ms: f64,  // of reading believed to be in front, and of fetching
    pub took: Duration, // from the sending to the first token
}
