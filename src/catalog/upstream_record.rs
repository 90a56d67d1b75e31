use serde::{Deserialize, Serialize};

/// The text of an upstream's entry in the store at some revision, or its removal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    pub id: String,
    pub revision: u64,        // store revision of the change
    pub text: Option<String>, // none if removed; empty if unusable
}
