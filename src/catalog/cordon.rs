use serde::{Deserialize, Serialize};

/// The operator's word that an availability zone gets no new work, by the store's
/// revision at which it was given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordon {
    pub zone: String,
    pub revision: u64,
}
