use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Address and zone of a router, as exchanged in discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterContact {
    pub address: SocketAddr, // where it receives datagrams of other routers
    pub zone: u32,           // hash of the zone's name
}
