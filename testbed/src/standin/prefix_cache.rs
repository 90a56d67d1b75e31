use std::collections::VecDeque;

/// The prompt prefixes that a stand-in engine has cached.
#[derive(Default)]
pub struct PrefixCache {
    prefixes: VecDeque<String>, // least recently used first
    pub hits: u64,
    pub misses: u64,
}

impl PrefixCache {
    /// Marks a prefix as just used, adding it if needed. Returns whether it was cached.
    /// Keeps at most `bound` prefixes, evicting the least recently used.
    pub fn touch(
        &mut self,
        prefix: &str,
        bound: usize,
    ) -> bool {
        let found = self.prefixes.iter().position(|known| known == prefix);
        match found {
            Some(index) => {
                self.prefixes.remove(index);
                self.hits += 1;
            }
            None => self.misses += 1,
        }
        self.prefixes.push_back(prefix.to_owned());
        if self.prefixes.len() > bound {
            self.prefixes.pop_front();
        }
        found.is_some()
    }
}
