use {
    crate::policy::{
        placement::{CacheNote, EngineReport, ReplicaReport},
        shares::AccountUsage,
    },
    serde::{Deserialize, Serialize},
};

/// Items of each kind in one datagram, which keep it below some 1,200 bytes.
const MAX_REPLICAS: usize = 32;
const MAX_ACCOUNTS: usize = 16;
const MAX_NOTES: usize = 12;
const MAX_ENGINES: usize = 8;

/// The load that one router, or all routers of a zone, have placed on replicas, and the
/// service that accounts got. An entry for a replica, an account or an engine replaces the
/// earlier one; cache notes accumulate.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportBody {
    pub replicas: Vec<ReplicaReport>,
    pub accounts: Vec<(u32, AccountUsage)>,
    pub notes: Vec<CacheNote>,
    pub engines: Vec<EngineReport>,
}

impl ReportBody {
    /// Splits the figures into parts that each fit one datagram; at least one, also if there
    /// is nothing to report.
    pub fn cut(self) -> Vec<Self> {
        let replicas: Vec<_> = self.replicas.chunks(MAX_REPLICAS).collect();
        let accounts: Vec<_> = self.accounts.chunks(MAX_ACCOUNTS).collect();
        let notes: Vec<_> = self.notes.chunks(MAX_NOTES).collect();
        let engines: Vec<_> = self.engines.chunks(MAX_ENGINES).collect();
        let chunk_counts = [replicas.len(), accounts.len(), notes.len(), engines.len()];
        let count = chunk_counts.into_iter().max().unwrap_or(0).max(1);
        (0..count)
            .map(|index| Self {
                replicas: chunk_or_empty(&replicas, index),
                accounts: chunk_or_empty(&accounts, index),
                notes: chunk_or_empty(&notes, index),
                engines: chunk_or_empty(&engines, index),
            })
            .collect()
    }
}

fn chunk_or_empty<T: Clone>(
    chunks: &[&[T]],
    index: usize,
) -> Vec<T> {
    chunks
        .get(index)
        .map_or_else(Vec::new, |chunk| chunk.to_vec())
}
