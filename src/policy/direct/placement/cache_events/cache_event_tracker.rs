use {
    super::{CacheCursor, CacheEventBatch, UnseenEvents},
    crate::policy::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// An eviction of a part that was sent within this time may precede the sending, since the
/// request is still under way or queued. It is applied only after this time.
const EVICTION_DELAY: Duration = Duration::from_secs(1);

/// A replica without a batch for this long is followed by no router. It covers a few polls, each
/// of which takes at most a second.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval at which batches without changes are forwarded, to show that the replica is
/// followed.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of recently sent parts that are remembered.
const MAX_SENT_PARTS: usize = 256;

/// Maximum number of pending evictions. Beyond it the oldest are dropped, and their parts
/// count as cached.
const MAX_PENDING_EVICTIONS: usize = 64;

/// The number of the first event of an epoch.
const FIRST_NUMBER: u64 = 1;

/// Tracks the position in a replica's cache events, and evictions that are not applied yet.
#[derive(Debug, Clone, Default)]
pub struct CacheEventTracker {
    cursor: CacheCursor,
    last_batch: Option<Moment>, // when it was received
    sent: VecDeque<SentPart>,   // recently, the oldest first
    pending_evictions: VecDeque<SentPart>,
    forwarded: Option<Forwarded>, // by this router
}

/// Position up to which this router has forwarded events.
#[derive(Debug, Clone, Copy)]
struct Forwarded {
    at: Moment,
    epoch: u32,
    next: u64,
}

/// A part that was sent to the replica.
#[derive(Debug, Clone, Copy)]
struct SentPart {
    part: u64,
    sent: Moment,
}

impl SentPart {
    fn is_recent(
        &self,
        now: Moment,
    ) -> bool {
        now < self.sent + EVICTION_DELAY
    }
}

impl CacheEventTracker {
    /// Position of the next event to read.
    pub fn cursor(&self) -> CacheCursor {
        self.cursor
    }

    /// Whether some router follows the replica's events.
    pub fn is_followed(
        &self,
        now: Moment,
    ) -> bool {
        let last_batch = self.last_batch;
        last_batch.is_some_and(|at| now.saturating_sub(at) <= FOLLOW_TIMEOUT)
    }

    /// Advances the position past a batch and returns its unknown events. Batches overlap
    /// while two routers follow the same replica.
    pub fn advance(
        &mut self,
        now: Moment,
        batch: &CacheEventBatch,
    ) -> UnseenEvents {
        self.last_batch = Some(now);
        let known = self.cursor;
        let is_same_epoch = known.epoch == Some(batch.epoch);
        let next = if is_same_epoch {
            known.next
        } else {
            FIRST_NUMBER
        };
        if !is_same_epoch {
            self.pending_evictions.clear();
        }
        let events = batch
            .events
            .iter()
            .filter(|event| batch.is_snapshot || event.number >= next);
        // The replica was asked for events beyond its last number, because an earlier answer
        // named too high a number. Without going back, its events would be skipped as known.
        let is_beyond_end = batch.next < batch.from;
        let unseen = UnseenEvents {
            was_reset: known.epoch.is_some() && !is_same_epoch,
            has_gap: batch.has_gap || batch.from > next || is_beyond_end,
            events: events.copied().collect(),
        };
        self.cursor = CacheCursor {
            epoch: Some(batch.epoch),
            next: if is_beyond_end {
                batch.next
            } else {
                next.max(batch.next)
            },
        };
        unseen
    }

    /// The batch to forward to the zone's routers, of one that this router read from the
    /// replica. Batches without changes are forwarded at `KEEP_ALIVE_INTERVAL` only.
    pub fn batch_to_forward(
        &mut self,
        now: Moment,
        batch: &CacheEventBatch,
    ) -> Option<CacheEventBatch> {
        let last = self.forwarded.filter(|last| last.epoch == batch.epoch);
        let is_recent = last.is_some_and(|last| now.saturating_sub(last.at) < KEEP_ALIVE_INTERVAL);
        if is_recent && batch.events.is_empty() && !batch.has_gap {
            return None;
        }
        let from = last.map_or(batch.from, |last| last.next.min(batch.from));
        self.forwarded = Some(Forwarded {
            at: now,
            epoch: batch.epoch,
            next: batch.next,
        });
        Some(CacheEventBatch {
            from,
            ..batch.clone()
        })
    }

    /// Records that a request with this part was sent to the replica.
    pub fn record_sent(
        &mut self,
        now: Moment,
        part: u64,
    ) {
        self.cancel_eviction(part);
        while let Some(first) = self.sent.front()
            && (!first.is_recent(now) || self.sent.len() >= MAX_SENT_PARTS)
        {
            self.sent.pop_front();
        }
        self.sent.push_back(SentPart { part, sent: now });
    }

    /// Records that the replica evicted a part. Returns whether the eviction applies at once;
    /// for a part that was sent recently it stays pending.
    pub fn record_eviction(
        &mut self,
        now: Moment,
        part: u64,
    ) -> bool {
        let mut sent = self.sent.iter().rev();
        let last = sent.find(|other| other.part == part).copied();
        let Some(last) = last.filter(|last| last.is_recent(now)) else {
            return true;
        };
        self.cancel_eviction(part);
        if self.pending_evictions.len() >= MAX_PENDING_EVICTIONS {
            self.pending_evictions.pop_front();
        }
        self.pending_evictions.push_back(last);
        false
    }

    /// Drops the pending eviction of a part that is cached again.
    pub fn cancel_eviction(
        &mut self,
        part: u64,
    ) {
        self.pending_evictions
            .retain(|pending| pending.part != part);
    }

    /// Removes and returns the parts whose pending eviction is due.
    pub fn take_due_evictions(
        &mut self,
        now: Moment,
    ) -> Vec<u64> {
        let is_due = |pending: &&SentPart| !pending.is_recent(now);
        let due = self.pending_evictions.iter().filter(is_due);
        let due = due.map(|pending| pending.part).collect();
        self.pending_evictions
            .retain(|pending| pending.is_recent(now));
        due
    }
}
