use serde::{Deserialize, Serialize};

/// The operator's instruction that an availability zone gets no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordon {
    pub zone: String,
    pub revision: u64, // store revision at which it was written
}
