use {
    super::Load,
    serde::{Deserialize, Serialize},
};

/// Load report of one router, or of a zone's routers together, on one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    pub start_hash: u32, // hash of the replica's id and start time
    pub load: Load,
    pub placed_tokens: u64, // tokens sent there so far: uncached prompt and possible output
    pub is_ejected: bool,   // it gets no requests for now, because of failures or overload
}

impl ReplicaReport {
    /// Whether the report differs from that of an unused, healthy replica.
    pub fn has_content(&self) -> bool {
        self.is_ejected || self.placed_tokens > 0 || self.load != Load::default()
    }
}
