use std::collections::BTreeMap;

/// What one run showed.
#[derive(Debug)]
pub struct SoakResult {
    pub seed: u64,
    pub faults: Vec<String>,            // in words, with their times
    pub statuses: BTreeMap<u16, usize>, // answers by status, 0 for none
    pub broken: Vec<String>,
    pub logs: Vec<(String, String)>, // the routers' logs, by file name
}

impl SoakResult {
    /// One line for people.
    pub fn summary(&self) -> String {
        let statuses: Vec<String> = self
            .statuses
            .iter()
            .map(|(status, count)| format!("{status}: {count}"))
            .collect();
        format!(
            "seed {}: {} faults, answers {}, broken {}",
            self.seed,
            self.faults.len(),
            statuses.join(", "),
            self.broken.len()
        )
    }
}
