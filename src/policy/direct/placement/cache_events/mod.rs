//! Prompt-cache events of replicas. One router of a replica's zone reads them from the replica
//! and forwards them to the others.

mod unseen_events;
mod cache_change;
mod cache_event;
mod cache_cursor;
mod cache_event_batch;
mod cache_event_tracker;
mod shared_parts;

pub use {
    unseen_events::UnseenEvents, cache_change::CacheChange, cache_event::CacheEvent,
    cache_cursor::CacheCursor, cache_event_batch::CacheEventBatch, cache_event_tracker::CacheEventTracker, shared_parts::SharedParts,
};
