use {
    super::ReportBody,
    crate::catalog::CatalogVersion,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Datagram with the state of one router, to the other routers of its availability zone. The
/// body of one report may be split over several datagrams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouterReport {
    pub address: SocketAddr, // where it receives datagrams of other routers
    pub update_address: SocketAddr, // QUIC address that serves its catalog
    pub caller_address: SocketAddr, // address for caller connections
    pub zone: u32,           // hash of the zone's name
    pub incarnation: u64,    // start time of the process in Unix milliseconds
    pub sequence: u64,       // increases with every report and summary of the process
    pub is_leaving: bool,    // shutting down
    pub busy_percent: u8,    // of the time, in which its processor had work
    pub millicores: u16,     // processor capacity, in thousandths of a core
    pub is_store_unavailable: bool, // its recent reads of the store failed
    pub version: CatalogVersion,
    pub body: ReportBody,
}
