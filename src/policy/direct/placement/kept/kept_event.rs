use serde::{Deserialize, Serialize};

/// A part of prompts that a replica took in or gave up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptEvent {
    pub number: u64, // counted by the replica from its start
    pub part: u64,
    pub is_kept: bool, // from now on
}
