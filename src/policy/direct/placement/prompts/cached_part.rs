/// A part of prompts that a replica reports as cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedPart {
    pub part: u64,
    pub tokens: u32, // number of its tokens that are cached
}
