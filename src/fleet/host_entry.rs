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
    pub link: SocketAddr,     // for the fleet's own processes
    pub operator: SocketAddr, // for operators
    pub state: HostState,
}
