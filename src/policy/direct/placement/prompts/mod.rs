//! Prompts as sequences of parts, and views of the replicas' prompt caches.

mod cache_note;
mod cached_part;
mod prefix_cache;
mod prompt;
mod sent_prompt;

pub use {
    cache_note::CacheNote,
    cached_part::CachedPart,
    prefix_cache::PrefixCache,
    prompt::{PromptPart, PromptShape},
    sent_prompt::SentPrompt,
};
