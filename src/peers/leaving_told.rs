use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One datagram with the replicas that said to a router that they leave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingTold {
    pub zone: u32, // of the teller, short name
    pub teller: SocketAddr,
    pub starts: Vec<u32>, // of replicas, short names
}
