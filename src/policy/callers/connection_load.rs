use {
    super::{Phase, Usage},
    std::time::Duration,
};

/// What one connection of a caller takes of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLoad {
    /// Identifies the connection.
    pub id: u64,
    pub phase: Phase,
    /// Time since its phase began.
    pub age: Duration,
    pub usage: Usage,
    /// Whether an answer that is in progress waits for the caller: it takes nothing of it, or it has
    /// sent more that is not read before that answer has ended.
    pub waits_for_caller: bool,
}
