//! What replicas keep of prompts, by their own word: events, followed by one router of
//! the replica's zone and told to its fellows.

mod heard_events;
mod kept_change;
mod kept_event;
mod kept_follow;
mod kept_news;
mod kept_word;
mod shared_parts;

pub use {
    heard_events::HeardEvents, kept_change::KeptChange, kept_event::KeptEvent,
    kept_follow::KeptFollow, kept_news::KeptNews, kept_word::KeptWord, shared_parts::SharedParts,
};
