use {
    super::Load,
    serde::{Deserialize, Serialize},
};

/// What one router has at one replica, and whether it lets it rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    pub replica: u32, // short name
    pub load: Load,
    pub placed: u64, // tokens sent there so far that it had to take in
    pub rests: bool,
}

impl ReplicaReport {
    /// Whether there is anything to tell of the replica.
    pub fn says_something(&self) -> bool {
        self.rests || self.placed > 0 || self.load != Load::default()
    }
}
