use std::net::SocketAddr;

/// Routers of which one answer is enough.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueryGroup {
    Router(SocketAddr), // one router of the own zone
    Zone(u32),          // the routers of another zone that were asked on its behalf
}
