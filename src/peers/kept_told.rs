use {
    crate::policy::placement::CacheEventBatch,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One datagram with what a router heard of replicas that it follows, of their events
/// those that changed what it believed: to the routers of its zone; and of these to other
/// zones those by which shared parts were given up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeptTold {
    pub zone: u32, // of the teller, short name
    pub teller: SocketAddr,
    pub replicas: Vec<(u32, CacheEventBatch)>, // by the short name of the start
}
