//! Prompts as sequences of parts, and views of the replicas' prompt caches.

mod part_placement;
mod cached_part;
mod prefix_cache;
mod prompt;
mod sent_prompt;

pub use {
    part_placement::PartPlacement,
    cached_part::CachedPart,
    prefix_cache::PrefixCache,
    prompt::{PromptPart, PromptShape},
    sent_prompt::SentPrompt,
};
