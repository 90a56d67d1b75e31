use {super::PromptShape, crate::routing::EngineSpec, std::time::Duration};

/// A prompt on its way to a replica.
#[derive(Debug, Clone, Copy)]
pub struct SentPrompt<'p> {
    pub shape: &'p PromptShape,
    pub engine: EngineSpec,
    pub aim: Duration,               // of its route
    pub pause_aim: Option<Duration>, // longest pause between its events that is in time
    pub reading: u32,                // tokens that the replica has to read
    pub front_ms: f64,               // of reading believed to be in front, and of fetching
}
