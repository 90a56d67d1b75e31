use std::time::Duration;

/// A fault of the stand-in engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EngineFault {
    #[default]
    None,
    DelayedAnswer(Duration), // waits before it answers
    WrongRequestId,          // returns the id of another request in x-request-id
    CutAfterTokens(u32),     // closes a stream after this many tokens
    NoAnswer,                // accepts the request and never answers
}
