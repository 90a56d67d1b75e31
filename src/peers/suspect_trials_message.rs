use {
    crate::policy::suspects::TrialReport,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Datagram with the trials that one router claims after holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectTrialsMessage {
    pub zone: u32,            // hash of the zone's name
    pub reporter: SocketAddr, // its author; the first receiver in another zone relays it there
    pub trials: Vec<TrialReport>,
}
