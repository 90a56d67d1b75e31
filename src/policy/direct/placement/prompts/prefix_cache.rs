use {
    super::{KeptPart, PromptShape},
    std::collections::HashMap,
};

/// Parts that are known at most; those unused longest are forgotten beyond it.
const KNOWN_PARTS: usize = 4096;

/// What one replica is believed to keep of prompts.
///
/// Replicas give up the parts that were unused longest, so age is counted in
/// tokens: a part is believed to be there until as many tokens were placed at
/// the replica after its last use as the replica has room for. A belief: events
/// come late, and a replica gives parts up without a word.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    used: HashMap<u64, u64>, // tokens placed at the replica when a part was last used
    placed: u64,             // tokens placed at the replica so far
    room: u64,               // tokens that fit beside running requests
}

impl PrefixCache {
    /// Tokens that must be read there: those after the longest run of kept parts.
    pub fn uncached(
        &self,
        prompt: &PromptShape,
    ) -> u32 {
        let missing = prompt.parts.iter().skip_while(|part| self.holds(part.id));
        missing.map(|part| part.tokens).sum()
    }

    /// Whether a part is believed to be kept.
    pub fn holds(
        &self,
        part: u64,
    ) -> bool {
        let used = self.used.get(&part);
        used.is_some_and(|used| self.placed.saturating_sub(*used) < self.room)
    }

    /// Tokens were placed there, by whichever router.
    pub fn place(
        &mut self,
        tokens: u64,
    ) {
        self.placed += tokens;
    }

    /// How many tokens fit beside the running requests.
    pub fn set_room(
        &mut self,
        tokens: u64,
    ) {
        self.room = tokens;
    }

    /// The replica's own word on what it keeps, in a memory of `memory` tokens.
    /// What was noted here before is newer, and stays.
    pub fn learn(
        &mut self,
        parts: &[KeptPart],
        memory: u64,
    ) {
        if self.room == 0 {
            self.room = memory;
        }
        for kept in parts.iter().filter(|kept| kept.tokens > 0) {
            if !self.used.contains_key(&kept.part) {
                self.note(kept.part);
            }
        }
    }

    /// A part is used there.
    pub fn note(
        &mut self,
        part: u64,
    ) {
        self.used.insert(part, self.placed);
        if self.used.len() > KNOWN_PARTS {
            self.forget_oldest();
        }
    }

    /// Forgets the quarter that was unused longest.
    fn forget_oldest(&mut self) {
        let mut ages: Vec<u64> = self.used.values().copied().collect();
        ages.sort_unstable();
        let oldest = ages[ages.len() / 4];
        self.used.retain(|_, used| *used > oldest);
    }
}
