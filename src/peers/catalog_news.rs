use {
    crate::catalog::UpstreamRecord,
    serde::{Deserialize, Serialize},
};

/// What a peer lacks of the configuration and the list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogNews {
    pub config: Option<String>, // the whole text, if newer
    pub records: Vec<UpstreamRecord>,
    pub upstreams_at: u64, // the store's revision that the records reach up to
}
