//! What replicas said of themselves in their answers.

use {
    super::ReplicaBoard,
    crate::{
        catalog::UpstreamEntry,
        policy::{Moment, ReplicaNotice},
    },
    std::time::Duration,
};

impl ReplicaBoard {
    /// A replica said this of itself. True if it is news.
    pub fn hear_notice(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
        notice: ReplicaNotice,
    ) -> bool {
        self.notices.hear(now, replica, notice)
    }

    /// Whether a replica said that it leaves.
    pub fn leaves(
        &self,
        replica: &UpstreamEntry,
    ) -> bool {
        self.notices.leaves(replica)
    }

    /// What is left of the rest that a replica asked for.
    pub fn rest_left(
        &self,
        now: Moment,
        replica: &UpstreamEntry,
    ) -> Duration {
        self.notices.rest_left(now, replica)
    }
}
