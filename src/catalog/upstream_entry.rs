use {
    super::UpstreamState,
    crate::policy::{name_hash, stable_hash, streams::SoftwareVersion},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// A replica as listed in the platform's store. It may restart under the same id, with empty
/// caches and without its earlier requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    pub id: Arc<str>,
    pub started_unix_ms: Option<u64>, // start time in Unix milliseconds; none if replicas never restart
    pub service: Arc<str>,
    pub version: Arc<str>, // of the replica's software
    pub address: SocketAddr,
    pub zone: Arc<str>,
    pub slots: u32, // requests that it processes concurrently
    pub state: UpstreamState,
    pub slow_start_remaining: Duration, // remaining slow start when it wrote the entry
}

impl UpstreamEntry {
    /// The version of its software, within its service.
    pub fn software_version(&self) -> SoftwareVersion {
        SoftwareVersion::new(&self.service, &self.version)
    }

    /// A hash of the id and the start time, which identifies this incarnation (start of the
    /// process) of the replica in messages between routers. Messages about an earlier
    /// incarnation do not match it.
    pub fn start_hash(&self) -> u32 {
        match self.started_unix_ms {
            None => name_hash(&self.id),
            Some(started) => stable_hash(&(&*self.id, started)) as u32,
        }
    }

    /// Whether this entry allows less than another one of the upstream, of which it is not known
    /// which is newer: it is of a later start, or of the same one and says that the upstream
    /// leaves or has just started.
    pub fn limits_more_than(
        &self,
        other: &Self,
    ) -> bool {
        if self.started_unix_ms != other.started_unix_ms {
            return self.started_unix_ms > other.started_unix_ms;
        }
        let is_leaving = |entry: &Self| entry.state == UpstreamState::Draining;
        match (is_leaving(self), is_leaving(other)) {
            (false, false) => self.slow_start_remaining > other.slow_start_remaining,
            (leaving, other_leaving) => leaving && !other_leaving,
        }
    }

    /// Whether another entry is of the same incarnation of the same replica.
    pub fn is_same_start(
        &self,
        other: &Self,
    ) -> bool {
        self.id == other.id && self.started_unix_ms == other.started_unix_ms
    }
}
