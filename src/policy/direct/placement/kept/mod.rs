//! Prompt-cache events of replicas. One router of a replica's zone reads them from the replica
//! and forwards them to the others.

mod heard_events;
mod kept_change;
mod cache_event;
mod kept_follow;
mod kept_news;
mod kept_word;
mod shared_parts;

pub use {
    heard_events::HeardEvents, kept_change::KeptChange, cache_event::CacheEvent,
    kept_follow::KeptFollow, kept_news::KeptNews, kept_word::KeptWord, shared_parts::SharedParts,
};
