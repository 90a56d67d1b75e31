use {
    super::UpstreamRecord,
    serde::{Deserialize, Serialize},
};

/// What one that is behind lacks of the list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamNews {
    pub records: Vec<UpstreamRecord>,
    pub at: u64,        // the store's revision that they reach up to
    pub is_whole: bool, // all that there is: upstreams known by then that it lacks are gone
}
