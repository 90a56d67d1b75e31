use std::net::SocketAddr;

/// A router's process: after a restart it has another incarnation, and has lost its records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouterProcess {
    pub address: SocketAddr,
    pub incarnation: u64,
}
