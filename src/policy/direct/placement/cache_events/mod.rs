//! Prompt-cache events of replicas. One router of a replica's zone reads them from the replica
//! and forwards them to the others.

mod cache_change;
mod cache_cursor;
mod cache_event;
mod cache_event_batch;
mod cache_event_tracker;
mod shared_parts;
mod unseen_events;

pub use {
    cache_change::CacheChange, cache_cursor::CacheCursor, cache_event::CacheEvent,
    cache_event_batch::CacheEventBatch, cache_event_tracker::CacheEventTracker,
    shared_parts::SharedParts, unseen_events::UnseenEvents,
};
