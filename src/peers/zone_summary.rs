use {
    super::ReportBody,
    crate::catalog::CatalogVersion,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Datagram from one availability zone to another with the totals of its routers. A later one
/// replaces it, also one of another router of the zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneSummary {
    pub zone: u32,                  // hash of the zone's name
    pub representative: SocketAddr, // its author; also receives the summaries for its zone
    pub update_address: SocketAddr, // QUIC address that serves the author's catalog
    pub incarnation: u64,           // start time of the author's process in Unix milliseconds
    pub sequence: u64,              // increases with every report and summary of the process
    pub routers: u32,               // live ones in the zone
    pub version: CatalogVersion,
    pub body: ReportBody,
    pub members: Vec<SocketAddr>, // some live routers of the zone
}
