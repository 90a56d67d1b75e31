use std::sync::Arc;

/// Where the newest word on an upstream came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamOrigin {
    pub revision: u64,   // of the store, at the change it tells of
    pub from: Arc<str>,  // the store, or a router's address
    pub is_lapsed: bool, // its entry vanished with most others, and it is kept for a moment
}
