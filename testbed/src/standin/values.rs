use std::collections::HashMap;

/// The published values, with all their revisions.
#[derive(Default)]
pub struct Values {
    pub last: u64,                                    // revision
    pub history: HashMap<String, Vec<(u64, String)>>, // by key, oldest first
    pub parts: HashMap<String, String>,               // by digest
}

impl Values {
    /// A key's newest value.
    pub fn newest(
        &self,
        key: &str,
    ) -> Option<(u64, &str)> {
        self.newest_up_to(key, u64::MAX)
    }

    /// A key's newest value of a revision up to this one.
    pub fn newest_up_to(
        &self,
        key: &str,
        bound: u64,
    ) -> Option<(u64, &str)> {
        self.history
            .get(key)?
            .iter()
            .rev()
            .find(|(revision, _)| *revision <= bound)
            .map(|(revision, text)| (*revision, text.as_str()))
    }
}
