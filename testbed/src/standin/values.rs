use std::collections::HashMap;

/// The published values with all their past revisions.
#[derive(Default)]
pub struct Values {
    pub last_revision: u64,                           // the highest one assigned
    pub history: HashMap<String, Vec<(u64, String)>>, // revisions of each key, oldest first
    pub parts: HashMap<String, String>,               // parts of configurations by SHA-256 digest
}

impl Values {
    /// A key's newest revision and value.
    pub fn newest(
        &self,
        key: &str,
    ) -> Option<(u64, &str)> {
        self.newest_up_to(key, u64::MAX)
    }

    /// A key's newest revision that is not above `bound`, and its value.
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
