use {
    super::{Cordon, counter_of},
    serde::{Deserialize, Serialize},
};

/// All cordons as of a store revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CordonSnapshot {
    pub cordons: Vec<Cordon>,
    pub revision: u64, // store revision; 0 if the sender has not read any cordons
}

impl CordonSnapshot {
    /// Reduces the revisions to the store's own counters.
    pub fn remove_era(&mut self) {
        self.revision = counter_of(self.revision);
        for cordon in &mut self.cordons {
            cordon.revision = counter_of(cordon.revision);
        }
    }
}
