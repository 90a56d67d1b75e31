use serde::{Deserialize, Serialize};

/// A part of a prompt that a replica was sent, for other routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CacheNote {
    pub replica: u32, // short name
    pub part: u64,
    pub shared: bool, // between prompts; the last part of each is its own
}
