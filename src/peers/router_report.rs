use {
    crate::{
        catalog::CatalogVersion,
        policy::{
            placement::{CacheNote, EngineReport, ReplicaReport},
            shares::AccountUsage,
        },
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Items of each kind in one report, so that it fits in a datagram of some
/// 1,200 bytes.
const REPLICAS: usize = 32;
const ACCOUNTS: usize = 16;
const NOTES: usize = 12;
const ENGINES: usize = 8;
const ROUTERS: usize = 8;

/// One datagram from one router to another. What it says of a replica or an
/// account replaces what an earlier one said of it; notes add up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouterReport {
    pub address: SocketAddr, // where the router takes reports
    pub news: SocketAddr,    // where it can be asked for its catalog
    pub incarnation: u64,    // of its process; higher is later
    pub sequence: u64,
    pub leaving: bool,
    pub busy: u8, // part of the time with work for its processor, in percent
    pub version: CatalogVersion,
    pub replicas: Vec<ReplicaReport>,
    pub accounts: Vec<(u32, AccountUsage)>,
    pub notes: Vec<CacheNote>,
    pub engines: Vec<EngineReport>,
    pub routers: Vec<SocketAddr>, // others that it knows
}

impl RouterReport {
    /// Cuts a report of any size into datagrams; at least one.
    pub fn cut(self) -> Vec<Self> {
        let replicas: Vec<_> = self.replicas.chunks(REPLICAS).collect();
        let accounts: Vec<_> = self.accounts.chunks(ACCOUNTS).collect();
        let notes: Vec<_> = self.notes.chunks(NOTES).collect();
        let engines: Vec<_> = self.engines.chunks(ENGINES).collect();
        let routers: Vec<_> = self.routers.chunks(ROUTERS).collect();
        let most = [
            replicas.len(),
            accounts.len(),
            notes.len(),
            engines.len(),
            routers.len(),
        ];
        let count = most.into_iter().max().unwrap_or(0).max(1);
        (0..count)
            .map(|index| Self {
                replicas: part(&replicas, index),
                accounts: part(&accounts, index),
                notes: part(&notes, index),
                engines: part(&engines, index),
                routers: part(&routers, index),
                ..self
            })
            .collect()
    }
}

fn part<T: Clone>(
    chunks: &[&[T]],
    index: usize,
) -> Vec<T> {
    chunks
        .get(index)
        .map_or_else(Vec::new, |chunk| chunk.to_vec())
}
