//! Outcomes of requests, which determine the health of replicas.

use {
    super::ReplicaTable,
    crate::{
        catalog::{UpstreamEntry, UpstreamState},
        policy::{
            Moment,
            placement::{CachedPart, PlainRun, PrefixCache, ReplicaView},
        },
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// Longest expected time between the exit of a replica's process and its restart under the same
/// entry. It is added to the time for which the replica may be in slow start unnoticed.
const MAX_ABSENCE: Duration = Duration::from_secs(5);

/// Duration of the ejection of a replica that reported that it has no free capacity.
const OVERLOAD_EJECTION: Duration = Duration::from_millis(60);

impl ReplicaTable {
    /// Records that a replica answered anything.
    pub fn record_answer(
        &mut self,
        now: Moment,
        replica: &str,
    ) {
        if let Some(view) = self.replicas.get_mut(replica) {
            view.last_answer = now;
        }
    }

    /// Whether a replica answered anything within `age`.
    pub fn is_alive(
        &self,
        now: Moment,
        replica: &str,
        age: Duration,
    ) -> bool {
        let view = self.replicas.get(replica);
        view.is_some_and(|view| now.saturating_sub(view.last_answer) <= age)
    }

    /// The replicas that answered nothing within `age`, although a request of this router has been
    /// in flight there for longer.
    pub fn silent_replicas(
        &self,
        now: Moment,
        age: Duration,
    ) -> BTreeSet<Arc<str>> {
        let requests = self.in_flight.values();
        let overdue = requests.filter(|request| now.saturating_sub(request.sent) > age);
        let replicas = overdue.map(|request| &request.replica);
        let silent = replicas.filter(|replica| !self.is_alive(now, replica, age));
        silent.cloned().collect()
    }

    /// Whether a replica is about to stop: it is not listed as ready any more, or announced in
    /// an answer that it leaves.
    pub fn is_leaving(
        &self,
        now: Moment,
        replica: &UpstreamEntry,
    ) -> bool {
        let view = self.replicas.get(&replica.id);
        let is_ready = view.is_some_and(|view| view.entry.state == UpstreamState::Ready);
        !is_ready || self.notices.is_leaving(now, replica)
    }

    /// Records that a request succeeded at a replica.
    pub fn record_success(
        &mut self,
        replica: &UpstreamEntry,
    ) {
        if let Some(view) = self.same_start(replica) {
            view.health.record_success();
        }
    }

    /// Records the times of a plain request that a replica answered.
    pub fn record_plain_request(
        &mut self,
        replica: &UpstreamEntry,
        run: PlainRun,
    ) {
        if let Some(view) = self.same_start(replica) {
            view.plain.record(run);
        }
    }

    /// Records that a request failed at a replica.
    pub fn record_failure(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
    ) {
        let median_rate = self.median_failure_rate(&replica.id);
        if let Some(view) = self.same_start(replica) {
            view.health.record_failure(now, median_rate);
        }
    }

    /// Records that a replica could not be connected to, or was another one than expected.
    pub fn record_unreachable(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
    ) {
        if let Some(view) = self.same_start(replica) {
            view.health.record_unreachable(now);
        }
    }

    /// Records that a replica reported that it has no free capacity.
    pub fn record_overload(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
    ) {
        if let Some(view) = self.same_start(replica) {
            view.health.record_overload(now, OVERLOAD_EJECTION);
        }
    }

    /// Records that the process at a replica's address exited. Its cache is lost, and it may be
    /// restarted before the list shows it, so slow start applies.
    pub fn record_exit(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
    ) {
        if let Some(view) = self.same_start(replica) {
            view.cache = PrefixCache::default();
        }
        self.assume_restarted(now, replica, MAX_ABSENCE);
    }

    /// Adds the parts that a replica lists as cached in its memory of `memory` tokens.
    pub fn apply_cached_parts(
        &mut self,
        replica: &UpstreamEntry,
        parts: &[CachedPart],
        memory: u64,
    ) {
        if let Some(view) = self.same_start(replica) {
            view.cache.apply_cached_parts(parts, memory);
        }
    }

    /// The view of the replica of an entry; none if it has restarted since.
    pub(super) fn same_start(
        &mut self,
        entry: &UpstreamEntry,
    ) -> Option<&mut ReplicaView> {
        let view = self.replicas.get_mut(&entry.id)?;
        view.entry.is_same_start(entry).then_some(view)
    }

    /// The median failure rate of the other replicas of the same service.
    fn median_failure_rate(
        &self,
        replica: &str,
    ) -> f64 {
        let Some(view) = self.replicas.get(replica) else {
            return 0.0;
        };
        let service = &view.entry.service;
        let mut rates: Vec<f64> = self
            .replicas
            .values()
            .filter(|other| other.entry.service == *service && &*other.entry.id != replica)
            .map(|other| other.health.failure_rate())
            .collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or(0.0)
    }
}
