//! Prompt-cache events of replicas. One router of a replica's zone reads them from the replica
//! and forwards them to the others.

mod heard_events;
mod kept_change;
mod cache_event;
mod cache_cursor;
mod cache_event_batch;
mod kept_word;
mod shared_parts;

pub use {
    heard_events::HeardEvents, kept_change::KeptChange, cache_event::CacheEvent,
    cache_cursor::CacheCursor, cache_event_batch::CacheEventBatch, kept_word::KeptWord, shared_parts::SharedParts,
};
