use std::time::Duration;

/// Capacity and speed of a stand-in engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineSettings {
    pub slots: usize,           // requests run at once; further ones wait
    pub token_time: Duration,   // per generated token
    pub prefill_time: Duration, // of a prompt whose prefix is not cached
    pub cached_prefixes: usize, // capacity; the least recently used one is evicted
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            token_time: Duration::from_millis(5),
            prefill_time: Duration::from_millis(10),
            cached_prefixes: 8,
        }
    }
}
