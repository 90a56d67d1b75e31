use {
    super::Cordon,
    serde::{Deserialize, Serialize},
};

/// All zones that were cordoned at a revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CordonNews {
    pub cordons: Vec<Cordon>,
    pub at: u64, // 0: nothing is known of cordons
}
