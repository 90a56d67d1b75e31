use serde::{Deserialize, Serialize};

/// Announcement to other routers that a part of a prompt was sent to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartPlacement {
    pub start_hash: u32, // hash of the replica's id and start time
    pub part: u64,
    pub shared: bool, // by several prompts: false for the last part of a prompt
}
