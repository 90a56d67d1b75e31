//! Prompts as sequences of parts, and views of the replicas' prompt caches.

mod cached_part;
mod part_placement;
mod prefix_cache;
mod prompt;
mod sent_prompt;

pub use {
    cached_part::CachedPart,
    part_placement::PartPlacement,
    prefix_cache::PrefixCache,
    prompt::{PromptPart, PromptShape},
    sent_prompt::SentPrompt,
};
