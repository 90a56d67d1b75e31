use super::StreamKey;

/// Identifies a pending query within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueryId {
    pub key: StreamKey,
    pub(super) number: u64,
}
