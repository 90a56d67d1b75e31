use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Datagram to the routers of the own zone with the replicas that announced to one router
/// that they are shutting down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingMessage {
    pub zone: u32,            // hash of the zone's name
    pub reporter: SocketAddr, // the router that got the announcements
    pub starts: Vec<u32>,     // hashes of the replicas' ids and start times
}
