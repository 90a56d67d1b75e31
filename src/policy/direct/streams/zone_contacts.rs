use std::net::SocketAddr;

/// The routers of another zone that were recently heard of.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ZoneContacts {
    pub zone: u32, // hash of the zone's name
    pub routers: Vec<SocketAddr>,
}
