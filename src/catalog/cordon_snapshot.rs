use {
    super::Cordon,
    serde::{Deserialize, Serialize},
};

/// All cordons as of a store revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CordonSnapshot {
    pub cordons: Vec<Cordon>,
    pub revision: u64, // store revision; 0 if the sender has not read any cordons
}
