use {
    super::{CachedPart, PromptShape},
    crate::policy::{
        Moment,
        placement::{CacheChange, CacheCursor, CacheEvent, CacheEventBatch, CacheEventTracker},
    },
    std::collections::HashMap,
};

/// Maximum number of parts that are remembered. Beyond it the least recently used are
/// dropped.
const MAX_PARTS: usize = 4096;

/// Maximum number of parts in a snapshot.
const MAX_SNAPSHOT_PARTS: usize = 256;

/// Capacity before the first request was sent to a replica that reports its evictions itself.
const UNKNOWN_CAPACITY: u64 = u64::MAX;

/// Estimated content of one replica's prompt cache.
///
/// Replicas evict the least recently used parts, so age is measured in tokens: a part counts
/// as cached until as many tokens as the cache has capacity for were sent to the replica after
/// the part's last use. Cache events that the replica reports take precedence. They arrive
/// late and some are lost.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    last_used: HashMap<u64, u64>, // value of `placed_tokens` at the last use of a part
    placed_tokens: u64,           // tokens sent to the replica so far
    capacity: u64,                // tokens that fit beside running requests
    events: CacheEventTracker,    // events that the replica reports
}

impl PrefixCache {
    /// Number of tokens after the longest cached prefix of a prompt.
    pub fn uncached(
        &self,
        prompt: &PromptShape,
    ) -> u32 {
        let missing = prompt.parts.iter().skip_while(|part| self.holds(part.id));
        missing.map(|part| part.tokens).sum()
    }

    /// Whether a part is estimated to be cached.
    pub fn holds(
        &self,
        part: u64,
    ) -> bool {
        let last_used = self.last_used.get(&part);
        last_used.is_some_and(|at| self.placed_tokens.saturating_sub(*at) < self.capacity)
    }

    /// Adds tokens that were sent to the replica by any router.
    pub fn add_placed(
        &mut self,
        tokens: u64,
    ) {
        self.placed_tokens += tokens;
    }

    /// Sets how many tokens fit beside the running requests.
    pub fn set_capacity(
        &mut self,
        tokens: u64,
    ) {
        self.capacity = tokens;
    }

    /// Adds the parts that the replica lists as cached in its memory of `memory` tokens. Parts
    /// that are known already stay as they are, since their last use is more recent.
    pub fn apply_cached_parts(
        &mut self,
        parts: &[CachedPart],
        memory: u64,
    ) {
        if self.capacity == 0 {
            self.capacity = memory;
        }
        for cached in parts.iter().filter(|cached| cached.tokens > 0) {
            if !self.last_used.contains_key(&cached.part) {
                self.touch(cached.part);
            }
        }
    }

    /// Records the use of a part by a request that was sent to the replica.
    pub fn record_use(
        &mut self,
        now: Moment,
        part: u64,
    ) {
        self.events.record_sent(now, part);
        self.touch(part);
    }

    /// Position of the next event of the replica to read.
    pub fn cursor(&self) -> CacheCursor {
        self.events.cursor()
    }

    /// Whether some router follows the replica's events.
    pub fn is_followed(
        &self,
        now: Moment,
    ) -> bool {
        self.events.is_followed(now)
    }

    /// The batch to forward to the zone's routers, of one that this router read from the
    /// replica.
    pub fn batch_to_forward(
        &mut self,
        now: Moment,
        batch: &CacheEventBatch,
    ) -> Option<CacheEventBatch> {
        self.events.batch_to_forward(now, batch)
    }

    /// A batch with the selected parts that are cached now, for a router that has just
    /// started. None before the first event of the replica.
    pub fn snapshot(
        &self,
        is_selected: impl Fn(u64) -> bool,
    ) -> Option<CacheEventBatch> {
        let cursor = self.events.cursor();
        let parts = self.last_used.keys().copied();
        let parts = parts.filter(|part| is_selected(*part) && self.holds(*part));
        let events = parts.take(MAX_SNAPSHOT_PARTS).map(|part| CacheEvent {
            number: cursor.next.saturating_sub(1),
            part,
            is_cached: true,
        });
        Some(CacheEventBatch {
            epoch: cursor.epoch?,
            from: cursor.next,
            next: cursor.next,
            has_gap: false,
            is_snapshot: true,
            events: events.collect(),
        })
    }

    /// Applies a batch of cache events, of the replica itself or forwarded by a peer.
    pub fn apply_events(
        &mut self,
        now: Moment,
        batch: &CacheEventBatch,
    ) -> CacheChange {
        let unseen = self.events.advance(now, batch);
        if unseen.was_reset {
            self.last_used.clear();
        }
        if self.capacity == 0 {
            self.capacity = UNKNOWN_CAPACITY;
        }
        for part in self.events.take_due_evictions(now) {
            self.last_used.remove(&part);
        }
        let unseen_count = unseen.events.len();
        let events = unseen.events.into_iter();
        let events = events.filter(|event| self.apply_event(now, event));
        let events: Vec<CacheEvent> = events.collect();
        CacheChange {
            unseen: unseen_count,
            added: events.iter().filter(|event| event.is_cached).count(),
            evicted: events.iter().filter(|event| !event.is_cached).count(),
            was_reset: unseen.was_reset,
            batch: CacheEventBatch {
                has_gap: unseen.has_gap,
                events,
                ..batch.clone()
            },
        }
    }

    /// Applies an event. Returns whether it contradicts the estimated content.
    fn apply_event(
        &mut self,
        now: Moment,
        event: &CacheEvent,
    ) -> bool {
        let was_known = self.last_used.contains_key(&event.part);
        if !event.is_cached {
            if was_known && self.events.record_eviction(now, event.part) {
                self.last_used.remove(&event.part);
            }
            return was_known;
        }
        self.events.cancel_eviction(event.part);
        let was_held = self.holds(event.part);
        if !was_held {
            self.touch(event.part);
        }
        !was_held
    }

    /// Marks a part as used now.
    fn touch(
        &mut self,
        part: u64,
    ) {
        self.last_used.insert(part, self.placed_tokens);
        if self.last_used.len() > MAX_PARTS {
            self.remove_oldest();
        }
    }

    /// Removes the least recently used quarter of the parts.
    fn remove_oldest(&mut self) {
        let mut last_uses: Vec<u64> = self.last_used.values().copied().collect();
        last_uses.sort_unstable();
        let oldest = last_uses[last_uses.len() / 4];
        self.last_used.retain(|_, at| *at > oldest);
    }
}
