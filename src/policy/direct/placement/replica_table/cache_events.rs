//! Prompt-cache events of replicas: which router follows them, and their exchange among routers.

use {
    super::ReplicaTable,
    crate::{
        catalog::{UpstreamEntry, UpstreamState},
        policy::{
            Moment,
            placement::{CacheChange, CacheCursor, CacheEventBatch},
        },
    },
};

/// Maximum number of batches that are queued for other routers. Batches beyond it are dropped,
/// which the receivers see as a gap.
const MAX_QUEUED_BATCHES: usize = 400;

impl ReplicaTable {
    /// Whether this router is to follow the cache events of a replica of its zone. One live router
    /// of the zone is selected by hash. Replicas that are leaving, in backoff, ejected or in a
    /// cordoned zone are not followed.
    pub fn should_follow_cache(
        &self,
        now: Moment,
        entry: &UpstreamEntry,
    ) -> bool {
        let Some(view) = self.replicas.get(&entry.id) else {
            return false;
        };
        view.entry.is_same_start(entry)
            && view.entry.state == UpstreamState::Ready
            && !view.health.is_ejected(now)
            && !self.is_cordoned(&view.entry)
            && self.accepts_requests(now, &view.entry)
            && self.zone_routers.is_highest_ranked(now, view.id_hash)
    }

    /// Whether cache events of a replica arrive, read by this or another router.
    pub fn is_cache_followed(
        &self,
        now: Moment,
        entry: &UpstreamEntry,
    ) -> bool {
        let view = self.replicas.get(&entry.id);
        let view = view.filter(|view| view.entry.is_same_start(entry));
        view.is_some_and(|view| view.cache.is_followed(now))
    }

    /// Queues snapshots of the shared parts cached at the replicas of this zone that this router
    /// follows, for a router of the zone that has just started.
    pub fn resend_cached_parts(
        &mut self,
        now: Moment,
        zone: &str,
    ) {
        let is_shared = |part| self.shared_parts.contains(part);
        let views = self
            .replicas
            .values()
            .filter(|view| &*view.entry.zone == zone);
        let views = views.filter(|view| self.should_follow_cache(now, &view.entry));
        let snapshots = views.filter_map(|view| {
            let snapshot = view.cache.snapshot(is_shared)?;
            Some((view.start_hash, snapshot))
        });
        let snapshots: Vec<_> = snapshots.collect();
        self.cache_events.extend(snapshots);
    }

    /// Position of the next cache event of a replica to read.
    pub fn cache_cursor(
        &self,
        entry: &UpstreamEntry,
    ) -> CacheCursor {
        let view = self.replicas.get(&entry.id);
        let view = view.filter(|view| view.entry.is_same_start(entry));
        view.map_or_else(CacheCursor::default, |view| view.cache.cursor())
    }

    /// Applies cache events that this router read from a replica, and queues them for other
    /// routers. Returns none if the replica is not listed or has restarted.
    pub fn apply_cache_events(
        &mut self,
        now: Moment,
        entry: &UpstreamEntry,
        batch: &CacheEventBatch,
    ) -> Option<CacheChange> {
        let start = entry.start_hash();
        let cache = &mut self.same_start(entry)?.cache;
        let change = cache.apply_events(now, batch);
        let forwarded = cache.batch_to_forward(now, &change.batch);
        let shared_evictions = change
            .batch
            .evictions(|part| self.shared_parts.contains(part));
        if !shared_evictions.events.is_empty() && self.zone_evictions.len() < MAX_QUEUED_BATCHES {
            self.zone_evictions.push((start, shared_evictions));
        }
        if self.cache_events.len() < MAX_QUEUED_BATCHES {
            self.cache_events
                .extend(forwarded.map(|batch| (start, batch)));
        }
        Some(change)
    }

    /// Removes and returns the batches for the zone's routers, with the start hashes of the
    /// replicas.
    pub fn take_cache_events(&mut self) -> Vec<(u32, CacheEventBatch)> {
        std::mem::take(&mut self.cache_events)
    }

    /// Removes and returns the batches for other zones, which hold evictions of shared parts
    /// only. Parts that are cached are announced to them as they are sent to replicas.
    pub fn take_zone_evictions(&mut self) -> Vec<(u32, CacheEventBatch)> {
        std::mem::take(&mut self.zone_evictions)
    }

    /// Applies cache events, forwarded by another router, of the replica with this start hash.
    pub fn apply_peer_cache_events(
        &mut self,
        now: Moment,
        start: u32,
        batch: &CacheEventBatch,
    ) {
        if let Some(view) = self.by_start_hash(start) {
            view.cache.apply_events(now, batch);
        }
    }
}
