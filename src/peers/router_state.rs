use {
    crate::{
        catalog::CatalogVersion,
        policy::{
            placement::{CacheNote, ReplicaReport},
            shares::AccountUsage,
        },
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One router's report to the others. A later one replaces an earlier one, but
/// for the notes, which add up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouterState {
    pub address: SocketAddr, // where the router is reached
    pub incarnation: u64,    // of its process; higher is later
    pub sequence: u64,
    pub leaving: bool,
    pub version: CatalogVersion,
    pub replicas: Vec<ReplicaReport>, // those with anything to say
    pub accounts: Vec<(u64, AccountUsage)>,
    pub notes: Vec<CacheNote>,
    pub routers: Vec<SocketAddr>, // others that it knows
}
