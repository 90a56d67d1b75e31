use {
    crate::policy::{
        placement::{LatencyReport, PartPlacement, ReplicaReport},
        shares::AccountUsage,
    },
    serde::{Deserialize, Serialize},
};

/// Items of each kind in one datagram, which keep it below some 1,200 bytes.
const MAX_REPLICAS: usize = 32;
const MAX_ACCOUNTS: usize = 16;
const MAX_PLACEMENTS: usize = 12;
const MAX_LATENCY_REPORTS: usize = 8;

/// The load that one router, or all routers of a zone, have placed on replicas, and the
/// service that accounts got. An entry for a replica, an account or an engine replaces the
/// earlier one; placements of prompt parts accumulate.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportBody {
    pub replicas: Vec<ReplicaReport>,
    pub accounts: Vec<(u32, AccountUsage)>, // by hash of the account's name
    pub placements: Vec<PartPlacement>,
    pub latency_reports: Vec<LatencyReport>,
}

impl ReportBody {
    /// Splits the body into parts that each fit one datagram; at least one, also if there
    /// is nothing to report.
    pub fn split(self) -> Vec<Self> {
        let replicas: Vec<_> = self.replicas.chunks(MAX_REPLICAS).collect();
        let accounts: Vec<_> = self.accounts.chunks(MAX_ACCOUNTS).collect();
        let placements: Vec<_> = self.placements.chunks(MAX_PLACEMENTS).collect();
        let latency_reports: Vec<_> = self.latency_reports.chunks(MAX_LATENCY_REPORTS).collect();
        let chunk_counts = [
            replicas.len(),
            accounts.len(),
            placements.len(),
            latency_reports.len(),
        ];
        let count = chunk_counts.into_iter().max().unwrap_or(0).max(1);
        (0..count)
            .map(|index| Self {
                replicas: chunk_or_empty(&replicas, index),
                accounts: chunk_or_empty(&accounts, index),
                placements: chunk_or_empty(&placements, index),
                latency_reports: chunk_or_empty(&latency_reports, index),
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
