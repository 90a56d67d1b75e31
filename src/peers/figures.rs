use {
    crate::policy::{
        placement::{LatencyReport, PartPlacement, ReplicaReport},
        shares::AccountUsage,
    },
    serde::{Deserialize, Serialize},
};

/// Items of each kind in one datagram, so that it stays within some 1,200 bytes.
const REPLICAS: usize = 32;
const ACCOUNTS: usize = 16;
const NOTES: usize = 12;
const ENGINES: usize = 8;

/// What a router, or the routers of a zone together, have at replicas and gave to
/// accounts. What it says of a replica or an account replaces what was said of it
/// before; notes add up.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    pub replicas: Vec<ReplicaReport>,
    pub accounts: Vec<(u32, AccountUsage)>,
    pub notes: Vec<PartPlacement>,
    pub engines: Vec<LatencyReport>,
}

impl Figures {
    /// Cuts figures of any size for datagrams; at least one.
    pub fn cut(self) -> Vec<Self> {
        let replicas: Vec<_> = self.replicas.chunks(REPLICAS).collect();
        let accounts: Vec<_> = self.accounts.chunks(ACCOUNTS).collect();
        let notes: Vec<_> = self.notes.chunks(NOTES).collect();
        let engines: Vec<_> = self.engines.chunks(ENGINES).collect();
        let most = [replicas.len(), accounts.len(), notes.len(), engines.len()];
        let count = most.into_iter().max().unwrap_or(0).max(1);
        (0..count)
            .map(|index| Self {
                replicas: part(&replicas, index),
                accounts: part(&accounts, index),
                notes: part(&notes, index),
                engines: part(&engines, index),
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
