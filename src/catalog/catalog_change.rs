use super::{CordonChange, UpstreamRecord};

/// One item of the store that the catalog takes in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Item {
    Config { text: String },
    Upstream(UpstreamRecord),
    Cordon(CordonChange),
}

/// What a read of the store brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogChange {
    pub items: Vec<Item>,
    pub at: u64, // the store's revision that the next watch goes on from
}
