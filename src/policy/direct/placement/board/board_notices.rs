//! What replicas said of themselves in their answers.

use {
    super::ReplicaBoard,
    crate::{
        catalog::{UpstreamEntry, UpstreamState},
        policy::{Moment, ReplicaNotice, placement::WorkNumber},
    },
    std::{sync::Arc, time::Duration},
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
        self.notices.apply_notice(now, unix_ms, replica, notice)
    }

    /// Replicas that said to this router that they leave, by their starts' short names.
    pub fn heard_leaving(&self) -> Vec<u32> {
        let views = self.replicas.values();
        let leaving = views.filter(|view| self.notices.received_leaving_here(&view.entry));
        leaving.map(|view| view.start).collect()
    }

    /// A fellow heard of these starts of replicas that they leave. Gives the replicas of
    /// which that is news.
    pub fn hear_of_leaving(
        &mut self,
        unix_ms: u64,
        starts: &[u32],
    ) -> Vec<Arc<UpstreamEntry>> {
        let mut news = Vec::new();
        for start in starts {
            let entry = self.by_key(*start).map(|view| view.entry.clone());
            news.extend(entry.filter(|entry| self.notices.apply_peer_leaving(unix_ms, entry)));
        }
        news
    }

    /// Whether a replica takes requests of this router, by its own word. The list lags
    /// behind that word by as long as the store is silent.
    pub fn wants_requests(
        &self,
        now: Moment,
        replica: &UpstreamEntry,
    ) -> bool {
        !self.notices.is_leaving(now, replica)
            && self.notices.backoff_remaining(now, replica).is_zero()
    }

    /// How long until the first replica of a service takes requests again, of those that do
    /// not leave; zero if one takes them now, none if there is none.
    pub fn all_rest_for(
        &self,
        now: Moment,
        service: &str,
    ) -> Option<Duration> {
        let views = self.replicas.values();
        let stay = views
            .filter(|view| &*view.entry.service == service)
            .filter(|view| view.entry.state == UpstreamState::Ready)
            .filter(|view| !self.is_cordoned(&view.entry))
            .filter(|view| !self.notices.is_leaving(now, &view.entry));
        stay.map(|view| self.notices.backoff_remaining(now, &view.entry))
            .min()
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
