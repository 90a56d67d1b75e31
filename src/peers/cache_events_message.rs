use {
    crate::policy::placement::CacheEventBatch,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Datagram with prompt-cache events of the replicas whose events one router reads. The
/// routers of its zone get all events that changed its view of the caches; other zones get
/// only the evictions of prompt parts that several prompts share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CacheEventsMessage {
    pub zone: u32,                             // hash of the zone's name
    pub reporter: SocketAddr,                  // the router that read the events
    pub replicas: Vec<(u32, CacheEventBatch)>, // by hash of id and start time
}
