use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A router as others name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedRouter {
    pub address: SocketAddr, // where it takes reports
    pub zone: u32,           // short name
}
