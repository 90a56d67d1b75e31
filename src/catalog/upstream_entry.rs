use {
    super::UpstreamState,
    crate::policy::{name_hash, stable_hash},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// A replica as the platform's list shows it. It may start again under its id, and knows
/// nothing of before then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    pub id: Arc<str>,
    pub born: Option<u64>, // unix milliseconds of its start, where it says so
    pub service: Arc<str>,
    pub address: SocketAddr,
    pub zone: Arc<str>,
    pub slots: u32, // requests it works on at once
    pub state: UpstreamState,
    pub slow_for: Duration, // how much longer it was slow from its start, when it said so
}

impl UpstreamEntry {
    /// The short name of this start of the replica, for messages between routers: what
    /// one says of an earlier start is not taken for this one.
    pub fn start_name(&self) -> u32 {
        match self.born {
            None => name_hash(&self.id),
            Some(born) => stable_hash(&(&*self.id, born)) as u32,
        }
    }

    /// Whether another entry is of the same start of the same replica.
    pub fn is_same_start(
        &self,
        other: &Self,
    ) -> bool {
        self.id == other.id && self.born == other.born
    }
}
