use {
    super::{PaceEvidence, PauseEvidence},
    serde::{Deserialize, Serialize},
};

/// What one router has seen of how one start of a replica works, for its fellows.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReplicaEvidence {
    pub start: u32, // short name
    pub pace: PaceEvidence,
    pub pauses: PauseEvidence,
}

/// Less weight than this is not worth telling.
const NEGLIGIBLE: f32 = 0.05;

impl ReplicaEvidence {
    /// How much it says of the replica: what is far from usual, seen often.
    pub fn says(&self) -> f32 {
        let pace = self.pace.lasting.log_ratio.abs() + self.pace.recent.log_ratio.abs();
        pace + self.pauses.broken
    }

    /// Whether it can have been seen: what another process tells may be anything.
    pub fn is_possible(&self) -> bool {
        self.pace.is_possible() && self.pauses.is_possible()
    }

    /// Whether there is anything in it.
    pub fn says_something(&self) -> bool {
        self.pace.lasting.weight > NEGLIGIBLE || self.pauses.watched_s > NEGLIGIBLE
    }
}
