use {
    crate::policy::placement::ReplicaEvidence,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Datagram to the routers of the own zone with one router's observations of how fast replicas
/// are and how long their streams pause. Replaces what the same router sent of a replica before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EvidenceMessage {
    pub zone: u32,            // hash of the zone's name
    pub reporter: SocketAddr, // the router that made the observations
    pub replicas: Vec<ReplicaEvidence>,
}
