use {
    crate::policy::suspects::SuspectReport,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One datagram with what a router knows of requests under which replicas ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectsTold {
    pub zone: u32,          // of the teller, short name
    pub teller: SocketAddr, // who hears it from another zone's router hands it on in its own
    pub notes: Vec<SuspectReport>,
}
