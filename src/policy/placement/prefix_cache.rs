use {super::PromptShape, crate::policy::Moment, std::collections::HashMap};

/// Parts that are known at most; the oldest are forgotten in bulk beyond it.
const KNOWN_PARTS: usize = 4096;

/// What one replica is believed to keep of prompts. A belief: events come late,
/// and the replica gives parts up without a word.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    parts: HashMap<u64, Kept>,
    tokens: u64,
}

#[derive(Debug, Clone, Copy)]
struct Kept {
    tokens: u32,
    used: Moment,
}

impl PrefixCache {
    /// Tokens that must be read there: those after the longest run of kept parts.
    pub fn uncached(
        &self,
        prompt: &PromptShape,
    ) -> u32 {
        let missing = prompt
            .parts
            .iter()
            .skip_while(|part| self.parts.contains_key(&part.id));
        missing.map(|part| part.tokens).sum()
    }

    /// A prompt was sent there: all its parts will be kept, in place of those
    /// that were unused longest, up to `capacity` tokens.
    pub fn note_prompt(
        &mut self,
        now: Moment,
        prompt: &PromptShape,
        capacity: u64,
    ) {
        for part in &prompt.parts {
            self.note(now, part.id, part.tokens);
        }
        while self.tokens > capacity || self.parts.len() > KNOWN_PARTS {
            self.forget_oldest();
        }
    }

    /// A part is kept there.
    pub fn note(
        &mut self,
        now: Moment,
        part: u64,
        tokens: u32,
    ) {
        let kept = Kept { tokens, used: now };
        let before = self.parts.insert(part, kept);
        self.tokens += u64::from(tokens);
        self.tokens -= before.map_or(0, |kept| u64::from(kept.tokens));
    }

    /// A part is not kept there any more.
    pub fn forget(
        &mut self,
        part: u64,
    ) {
        if let Some(kept) = self.parts.remove(&part) {
            self.tokens -= u64::from(kept.tokens);
        }
    }

    /// Nothing is kept there.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }

    /// Whether a part is believed to be kept.
    pub fn holds(
        &self,
        part: u64,
    ) -> bool {
        self.parts.contains_key(&part)
    }

    /// Forgets the quarter that was unused longest.
    fn forget_oldest(&mut self) {
        let mut ages: Vec<(Moment, u64)> = self
            .parts
            .iter()
            .map(|(id, kept)| (kept.used, *id))
            .collect();
        ages.sort_unstable();
        for (_, id) in ages.iter().take(ages.len() / 4 + 1) {
            self.forget(*id);
        }
    }
}
