use super::{CordonChange, UpstreamRecord};

/// One item of the store that concerns the catalog.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CatalogItem {
    Config { text: String },
    Upstream(UpstreamRecord),
    Cordon(CordonChange),
}

/// Result of a listing or a watch of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogChange {
    pub items: Vec<CatalogItem>,
    pub revision: u64,    // store revision from which the next watch continues
    pub era: Option<u64>, // of the revision; rises when the store has lost changes; none if untold
}
