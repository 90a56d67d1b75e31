//! What prompts are made of, and what replicas keep of them.

mod cache_note;
mod kept_part;
mod prefix_cache;
mod prompt;
mod sent_prompt;

pub use {
    cache_note::CacheNote,
    kept_part::KeptPart,
    prefix_cache::PrefixCache,
    prompt::{PromptPart, PromptShape},
    sent_prompt::SentPrompt,
};
