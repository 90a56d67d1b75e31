use {
    super::gateway::Gateway,
    crate::{catalog::UpstreamEntry, policy::placement::InFlightId},
    std::sync::Arc,
};

/// Counts a request in its replica's load until it is dropped.
pub struct InFlightGuard {
    gateway: Arc<Gateway>,
    id: InFlightId,
    replica: Arc<str>,
}

impl InFlightGuard {
    /// Guards a request that was already added to the replica's load under `id`.
    pub fn new(
        gateway: Arc<Gateway>,
        id: InFlightId,
        replica: Arc<str>,
    ) -> Self {
        Self {
            gateway,
            id,
            replica,
        }
    }

    /// The id of the replica.
    pub fn replica(&self) -> &Arc<str> {
        &self.replica
    }

    /// Whether the request may still be sent to `replica`: a replica may have restarted or
    /// announced that it leaves since it was chosen.
    pub fn may_be_sent(
        &self,
        replica: &UpstreamEntry,
    ) -> bool {
        let now = self.gateway.now();
        let replica_table = self.gateway.replica_table();
        replica_table.may_be_sent(now, self.id, replica)
    }

    /// Records that the first token arrived.
    pub fn record_first_token(&self) {
        let now = self.gateway.now();
        let changed = self.gateway.replica_table().first_token(now, self.id);
        if let Some(times) = changed {
            log::info!(
                replica = &*self.replica,
                fixed_ms = times.fixed_ms as u64,
                thousand_tokens_ms = (times.token_ms * 1000.0) as u64,
                residual_ms = times.residual_ms as u64;
                "engines are believed to be faster or slower than before"
            );
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gateway.replica_table().finish(self.id);
    }
}
