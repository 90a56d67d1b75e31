use {
    super::{HostRole, HostState},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One host of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    pub name: String,
    pub role: HostRole,
    pub zone: String,         // availability zone
    pub link: SocketAddr,     // for routers and sidecars, QUIC
    pub operator: SocketAddr, // for operators, HTTP
    pub state: HostState,
}
