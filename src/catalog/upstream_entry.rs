use {
    super::UpstreamState,
    std::{net::SocketAddr, sync::Arc},
};

/// A replica as the platform's list shows it. Every start of a replica has an
/// id of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub address: SocketAddr,
    pub zone: Arc<str>,
    pub slots: u32, // requests it works on at once
    pub state: UpstreamState,
}
