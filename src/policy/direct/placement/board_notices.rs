//! What replicas said of themselves in their answers.

use {
    super::{ReplicaBoard, WorkNumber},
    crate::{
        catalog::UpstreamEntry,
        policy::{Moment, ReplicaNotice},
    },
};

impl ReplicaBoard {
    /// A replica said this of itself, at `unix_ms` by this host's clock. True if it is
    /// news.
    pub fn hear_notice(
        &mut self,
        now: Moment,
        unix_ms: u64,
        replica: &UpstreamEntry,
        notice: ReplicaNotice,
    ) -> bool {
        self.notices.hear(now, unix_ms, replica, notice)
    }

    /// Whether a replica takes requests of this router, by its own word. The list lags
    /// behind that word by as long as the store is silent.
    pub fn wants_requests(
        &self,
        now: Moment,
        replica: &UpstreamEntry,
    ) -> bool {
        !self.notices.leaves(now, replica)
    }

    /// Whether a request that was counted at its replica may still be sent there: what the
    /// replica said while the request waited for a connection counts.
    pub fn may_be_sent(
        &self,
        now: Moment,
        number: WorkNumber,
        replica: &UpstreamEntry,
    ) -> bool {
        self.wants_requests(now, replica) && self.still_bears(now, number)
    }
}
