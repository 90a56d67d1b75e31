use std::time::Duration;

/// How an engine stand-in misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EngineFault {
    #[default]
    None,
    Late(Duration), // waits before it answers
    Crossed,        // answers with another request's name
    CutAfter(u32),  // closes the connection after this many tokens
    Never,          // takes the request and says nothing
}
