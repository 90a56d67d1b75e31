/// A part of a prompt, the unit of the replicas' prompt caches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u32,
}

/// The parts of a prompt in order, and its output limit. The last part belongs to the request
/// or its session; the parts before are shared with other prompts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    pub parts: Vec<PromptPart>,
    pub output_tokens: u32, // maximum number of generated tokens
}

impl PromptShape {
    /// Number of tokens of the whole prompt.
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// The hash key for the prompt's preferred replicas: its last shared part, or its only
    /// part.
    pub fn affinity_part(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2);
        shared
            .and_then(|index| self.parts.get(index))
            .or(self.parts.last())
            .map(|part| part.id)
    }
}
