use {
    super::Figures,
    crate::catalog::CatalogVersion,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One datagram from one router to another of its availability zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouterReport {
    pub address: SocketAddr, // where the router takes reports
    pub news: SocketAddr,    // where it can be asked for its catalog
    pub callers: SocketAddr, // where it takes callers
    pub zone: u32,           // short name
    pub incarnation: u64,    // of its process; higher is later
    pub sequence: u64,
    pub leaving: bool,
    pub busy: u8,         // part of the time with work for its processor, in percent
    pub millicores: u16,  // thousandths of a core that it has
    pub store_lost: bool, // it could not read the store of late
    pub version: CatalogVersion,
    pub figures: Figures,
}
