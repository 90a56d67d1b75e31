//! Notices in which replicas announce that they leave, or ask for backoff.

use {
    super::ReplicaTable,
    crate::{
        catalog::{UpstreamEntry, UpstreamState},
        policy::{Moment, ReplicaNotice, placement::InFlightId},
    },
    std::{sync::Arc, time::Duration},
};

impl ReplicaTable {
    /// Applies a notice that a replica sent in an answer, received at `unix_ms` by this host's
    /// clock. Returns whether it was not known before.
    pub fn apply_notice(
        &mut self,
        now: Moment,
        unix_ms: u64,
        replica: &UpstreamEntry,
        notice: ReplicaNotice,
    ) -> bool {
        self.notices.apply_notice(now, unix_ms, replica, notice)
    }

    /// Start hashes of the replicas that announced to this router that they leave.
    pub fn leaving_starts(&self) -> Vec<u32> {
        let views = self.replicas.values();
        let leaving = views.filter(|view| self.notices.received_leaving_here(&view.entry));
        leaving.map(|view| view.start_hash).collect()
    }

    /// Applies another router's message that the replicas with these start hashes leave. Returns
    /// the replicas of which this was not known before.
    pub fn apply_peer_leaving(
        &mut self,
        unix_ms: u64,
        starts: &[u32],
    ) -> Vec<Arc<UpstreamEntry>> {
        let mut newly_leaving = Vec::new();
        for start in starts {
            let entry = self.by_start_hash(*start).map(|view| view.entry.clone());
            newly_leaving
                .extend(entry.filter(|entry| self.notices.apply_peer_leaving(unix_ms, entry)));
        }
        newly_leaving
    }

    /// Whether a replica accepts requests of this router, by its notices. These are more recent
    /// than the list of replicas, which does not change while the store is unavailable.
    pub fn accepts_requests(
        &self,
        now: Moment,
        replica: &UpstreamEntry,
    ) -> bool {
        !self.notices.is_leaving(now, replica)
            && self.notices.backoff_remaining(now, replica).is_zero()
    }

    /// Time until the first replica of a service accepts requests again; zero if one accepts
    /// them now. Counts ready replicas that are neither leaving nor in a cordoned zone; none if
    /// there is no such replica.
    pub fn shortest_backoff(
        &self,
        now: Moment,
        service: &str,
    ) -> Option<Duration> {
        let views = self.replicas.values();
        let staying = views
            .filter(|view| &*view.entry.service == service)
            .filter(|view| view.entry.state == UpstreamState::Ready)
            .filter(|view| !self.is_cordoned(&view.entry))
            .filter(|view| !self.notices.is_leaving(now, &view.entry));
        staying
            .map(|view| self.notices.backoff_remaining(now, &view.entry))
            .min()
    }

    /// Whether a request that waited for a connection may still be sent to its replica, by the
    /// replica's notices and slow start.
    pub fn may_be_sent(
        &self,
        now: Moment,
        id: InFlightId,
        replica: &UpstreamEntry,
    ) -> bool {
        self.accepts_requests(now, replica) && self.may_still_start(now, id)
    }
}
