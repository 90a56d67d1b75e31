use std::collections::HashSet;

/// Parts in each of two sets. A part that was not seen while this many others were is
/// forgotten.
const MOST: usize = 2048;

/// Parts that prompts share, as far as seen lately.
#[derive(Debug, Clone, Default)]
pub struct SharedParts {
    current: HashSet<u64>,
    previous: HashSet<u64>,
}

impl SharedParts {
    /// A part was placed that is shared.
    pub fn note(
        &mut self,
        part: u64,
    ) {
        self.current.insert(part);
        if self.current.len() >= MOST {
            self.previous = std::mem::take(&mut self.current);
        }
    }

    /// Whether a part is known to be shared.
    pub fn contains(
        &self,
        part: u64,
    ) -> bool {
        self.current.contains(&part) || self.previous.contains(&part)
    }
}
