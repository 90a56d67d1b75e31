/// A part of a prompt that replicas may keep in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u32,
}

/// What a prompt is made of, in order, and how much it may generate. The last
/// part belongs to the request or its session; those before are shared.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    pub parts: Vec<PromptPart>,
    pub output_tokens: u32, // the most that is generated
}

impl PromptShape {
    /// Tokens of the whole prompt.
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// The part that decides where the prompt is at home: the last shared one.
    pub fn home_part(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2);
        shared
            .and_then(|index| self.parts.get(index))
            .or(self.parts.last())
            .map(|part| part.id)
    }
}
