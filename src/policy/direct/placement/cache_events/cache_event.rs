use serde::{Deserialize, Serialize};

/// A replica's report that it cached or evicted a part of prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    pub number: u64, // sequence number, counted by the replica
    pub part: u64,
    pub is_cached: bool, // cached if true, evicted if false
}
