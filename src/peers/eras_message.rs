use {
    crate::catalog::{CarriedCordon, CarriedEntry},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Datagram of a router that compares the store's eras: whether it reads the store, and the entries
/// and cordons that it carried over from an earlier era, which the store's copy may lack.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErasMessage {
    pub zone: u32,            // hash of the zone's name
    pub reporter: SocketAddr, // its author
    pub is_reader: bool,      // reads the store for its zone
    pub era: u64,             // of `entries` and `cordons`
    pub entries: Vec<CarriedEntry>,
    pub cordons: Vec<CarriedCordon>,
}
