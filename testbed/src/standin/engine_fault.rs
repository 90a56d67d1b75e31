use std::time::Duration;

/// A fault of the stand-in engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EngineFault {
    #[default]
    None,
    Late(Duration), // waits before it answers
    Crossed,        // returns the id of another request in x-request-id
    CutAfter(u32),  // closes a stream after this many tokens
    Never,          // accepts the request and never answers
}
