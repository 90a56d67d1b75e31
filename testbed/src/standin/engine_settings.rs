use std::time::Duration;

/// How a model engine stand-in behaves.
#[derive(Debug, Clone, Copy)]
pub struct EngineSettings {
    pub slots: usize,           // requests batched at once; more wait
    pub token_time: Duration,   // between generated tokens
    pub prefill_time: Duration, // for a prompt whose prefix is not cached
    pub cached_prefixes: usize, // kept, least recently used goes first
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
