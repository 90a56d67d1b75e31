use {
    super::UpstreamRecord,
    serde::{Deserialize, Serialize},
};

/// Changes of the list of upstreams, or a snapshot of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamUpdate {
    pub records: Vec<UpstreamRecord>,
    pub revision: u64,     // store revision reflected after they are applied
    pub is_snapshot: bool, // a snapshot: older upstreams that are missing from it are removed
}
