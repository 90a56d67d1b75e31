use serde::{Deserialize, Serialize};

/// The newest known text of one upstream's entry, or that it is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    pub id: String,
    pub revision: u64,        // of the store, at this change
    pub text: Option<String>, // none: gone
}
