use {
    crate::catalog::{EarlierCordon, EarlierWord},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Datagram of a router that compares the store's eras: whether it reads the store, and what it
/// knows from an earlier era that the store's copy lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErasMessage {
    pub zone: u32,            // hash of the zone's name
    pub reporter: SocketAddr, // its author
    pub is_reader: bool,      // reads the store for its zone
    pub era: u64,             // of the following
    pub words: Vec<EarlierWord>,
    pub cordons: Vec<EarlierCordon>,
}
