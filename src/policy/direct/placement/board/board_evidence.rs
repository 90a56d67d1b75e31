//! What speaks for and against replicas.

use {
    super::ReplicaBoard,
    crate::{
        catalog::{UpstreamEntry, UpstreamState},
        policy::{
            Moment,
            placement::{KeptPart, PlainRun, PrefixCache, ReplicaView},
        },
    },
    std::time::Duration,
};

/// A replica that ended may be back under its entry, unheard of, for some time after it
/// was last seen to be gone.
const LONGEST_ABSENCE: Duration = Duration::from_secs(5);

/// A replica that was full is left alone this long.
const FULL_PAUSE: Duration = Duration::from_millis(60);

impl ReplicaBoard {
    /// Something came from a replica.
    pub fn heard(
        &mut self,
        now: Moment,
        replica: &str,
    ) {
        if let Some(view) = self.replicas.get_mut(replica) {
            view.heard = now;
        }
    }

    /// Whether something came from a replica within `age`.
    pub fn is_alive(
        &self,
        now: Moment,
        replica: &str,
        age: Duration,
    ) -> bool {
        let view = self.replicas.get(replica);
        view.is_some_and(|view| now.saturating_sub(view.heard) <= age)
    }

    /// Whether a replica is to end: it says so, in the list or in answers, or it is not
    /// listed any more.
    pub fn is_to_end(
        &self,
        now: Moment,
        replica: &UpstreamEntry,
    ) -> bool {
        let view = self.replicas.get(&replica.id);
        let is_ready = view.is_some_and(|view| view.entry.state == UpstreamState::Ready);
        !is_ready || self.notices.is_leaving(now, replica)
    }

    /// A request ended well at a replica.
    pub fn succeeded(
        &mut self,
        replica: &UpstreamEntry,
    ) {
        if let Some(view) = self.same_start(replica) {
            view.health.success();
        }
    }

    /// A plain request ended at a replica like this.
    pub fn learn_plain(
        &mut self,
        replica: &UpstreamEntry,
        run: PlainRun,
    ) {
        if let Some(view) = self.same_start(replica) {
            view.plain.learn(run);
        }
    }

    /// A request failed at a replica.
    pub fn failed(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
    ) {
        let usual = self.usual_failure_rate(&replica.id);
        if let Some(view) = self.same_start(replica) {
            view.health.failure(now, usual);
        }
    }

    /// A replica could not be reached, or was another one.
    pub fn unreachable(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
    ) {
        if let Some(view) = self.same_start(replica) {
            view.health.unreachable(now);
        }
    }

    /// A replica said that it has no room.
    pub fn full(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
    ) {
        if let Some(view) = self.same_start(replica) {
            view.health.full(now, FULL_PAUSE);
        }
    }

    /// The process at a replica's address was seen to end: what it kept is lost, whatever
    /// the list says of it until it is heard of again.
    pub fn ended(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
    ) {
        let limit = self.start_limits.get(&replica.service).copied();
        if let Some(view) = self.same_start(replica) {
            view.cache = PrefixCache::default();
            if let Some(limit) = limit {
                view.start_pace
                    .assume_restarted(now, limit.duration + LONGEST_ABSENCE);
            }
        }
    }

    /// A replica's own word on what it keeps, in a memory of `memory` tokens.
    pub fn learn_kept(
        &mut self,
        replica: &UpstreamEntry,
        parts: &[KeptPart],
        memory: u64,
    ) {
        if let Some(view) = self.same_start(replica) {
            view.cache.learn(parts, memory);
        }
    }

    /// A replica that is still the start that an entry is of.
    pub(super) fn same_start(
        &mut self,
        entry: &UpstreamEntry,
    ) -> Option<&mut ReplicaView> {
        let view = self.replicas.get_mut(&entry.id)?;
        view.entry.is_same_start(entry).then_some(view)
    }

    /// The median failure rate of a replica's fellows.
    fn usual_failure_rate(
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
