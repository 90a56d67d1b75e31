use {
    super::Figures,
    crate::catalog::CatalogVersion,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One datagram from one availability zone to another: what its routers have
/// together. A later one replaces it, whichever router of the zone made it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneSum {
    pub zone: u32,           // short name
    pub carrier: SocketAddr, // the router that made it, and takes sums for its zone
    pub news: SocketAddr,    // where it can be asked for its catalog
    pub incarnation: u64,    // of its process
    pub sequence: u64,
    pub routers: u32, // in the zone, as the carrier knows them
    pub version: CatalogVersion,
    pub figures: Figures,
    pub members: Vec<SocketAddr>, // some routers of the zone
}
