use std::sync::Arc;

/// Source and revision of the last record of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamOrigin {
    pub revision: u64,   // store revision of the change
    pub from: Arc<str>,  // "store", or a router's address
    pub is_lapsed: bool, // its entry vanished with most others; in use for a grace period
}
