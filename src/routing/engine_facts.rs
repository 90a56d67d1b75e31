/// What the configuration tells of a service's model engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineFacts {
    pub memory_tokens: u64, // prompt memory of one engine, shared by running requests and cache
    pub token_bytes: f64,   // that a token takes when memory is moved; 0 if not told
    pub link_mbps: f64,     // of the engines' links for such moves; 0 if not told
    pub moves: bool,        // whether engines may fetch memory from each other
}
