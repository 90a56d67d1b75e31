use {
    crate::policy::placement::ReplicaEvidence,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One datagram with what a router has seen of how replicas work, to the routers of its
/// zone. What it says of a replica replaces what the same router said before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EvidenceTold {
    pub zone: u32, // of the teller, short name
    pub teller: SocketAddr,
    pub replicas: Vec<ReplicaEvidence>,
}
