use {super::PromptShape, crate::routing::EngineSpec, std::time::Duration};

/// A prompt that is sent to a replica.
#[derive(Debug, Clone, Copy)]
pub struct SentPrompt<'p> {
    pub shape: &'p PromptShape,
    pub engine: EngineSpec,
    pub target_latency: Duration, // of its route, to the first event
    pub target_pause: Option<Duration>, // longest allowed pause between its events
    pub prefill_tokens: u32,      // uncached prompt tokens
    pub queue_ms: f64,            // expected wait for queued prefill and for fetching
}
