use std::collections::HashSet;

/// Capacity of each of the two sets. A part is dropped after this many to twice as many others
/// were used since its last use.
const SET_CAPACITY: usize = 2048;

/// Recently used parts that several prompts share.
#[derive(Debug, Clone, Default)]
pub struct SharedParts {
    current: HashSet<u64>,
    previous: HashSet<u64>,
}

impl SharedParts {
    /// Records the use of a shared part.
    pub fn insert(
        &mut self,
        part: u64,
    ) {
        self.current.insert(part);
        if self.current.len() >= SET_CAPACITY {
            self.previous = std::mem::take(&mut self.current);
        }
    }

    /// Whether a part was recently used as a shared one.
    pub fn contains(
        &self,
        part: u64,
    ) -> bool {
        self.current.contains(&part) || self.previous.contains(&part)
    }
}
