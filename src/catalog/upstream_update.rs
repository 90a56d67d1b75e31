use {
    super::{UpstreamRecord, counter_of},
    serde::{Deserialize, Serialize},
};

/// Changes of the list of upstreams, or a snapshot of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamUpdate {
    pub records: Vec<UpstreamRecord>,
    pub revision: u64,     // store revision reflected after they are applied
    pub is_snapshot: bool, // a snapshot: older upstreams that are missing from it are removed
}

impl UpstreamUpdate {
    /// Reduces the revisions to the store's own counters.
    pub fn remove_era(&mut self) {
        self.revision = counter_of(self.revision);
        for record in &mut self.records {
            record.revision = counter_of(record.revision);
        }
    }
}
