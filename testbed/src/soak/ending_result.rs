use super::EndingKind;

/// What a run showed.
#[derive(Debug, Clone, PartialEq)]
pub struct EndingResult {
    pub kind: EndingKind,
    pub seed: u64,
    pub ended: usize,    // replicas
    pub late: usize,     // sends later than allowed after the third end
    pub harmless: usize, // requests
    pub served: usize,
    pub held: usize, // harmless ones that were held back
}

impl EndingResult {
    /// One line for people.
    pub fn summary(&self) -> String {
        let served = self.served as f64 / self.harmless.max(1) as f64;
        format!(
            "{:?} seed {}: {} ended, {} sent late; {} harmless, served {served:.3}, held back {}",
            self.kind, self.seed, self.ended, self.late, self.harmless, self.held
        )
    }
}
