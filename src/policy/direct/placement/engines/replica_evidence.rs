use {
    super::{PaceEvidence, PauseEvidence},
    serde::{Deserialize, Serialize},
};

/// A router's observations of the performance of one incarnation of a replica, as sent to the
/// other routers of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReplicaEvidence {
    pub start_hash: u32, // hash of the replica's id and start time
    pub pace: PaceEvidence,
    pub pauses: PauseEvidence,
}

/// Evidence with less weight than this is not sent.
const NEGLIGIBLE: f32 = 0.05;

impl ReplicaEvidence {
    /// Priority for sending, which rises with the number of samples and their deviation from
    /// the service's mean.
    pub fn priority(&self) -> f32 {
        let pace = self.pace.lasting.log_ratio.abs() + self.pace.recent.log_ratio.abs();
        pace + self.pauses.late
    }

    /// Whether the figures can come from real observations. Those of other processes are not
    /// trusted.
    pub fn is_possible(&self) -> bool {
        self.pace.is_possible() && self.pauses.is_possible()
    }

    /// Whether the evidence has enough weight to be sent.
    pub fn has_content(&self) -> bool {
        self.pace.lasting.weight > NEGLIGIBLE || self.pauses.watched_s > NEGLIGIBLE
    }
}
