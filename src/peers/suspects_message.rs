use {
    crate::policy::suspects::SuspectReport,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Datagram with requests, or parts of prompts, that one router suspects of crashing replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectsMessage {
    pub zone: u32,            // hash of the zone's name
    pub reporter: SocketAddr, // its author; the first receiver in another zone relays it there
    pub reports: Vec<SuspectReport>,
}
