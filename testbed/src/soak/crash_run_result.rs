use super::CrashScenario;

/// Outcome of a run in which a request crashes the replicas that run it.
#[derive(Debug, Clone, PartialEq)]
pub struct CrashRunResult {
    pub scenario: CrashScenario,
    pub seed: u64,
    pub crashed: usize,       // replicas that crashed
    pub late_arrivals: usize, // arrivals of the fatal request after every router had to know it
    pub harmless: usize,      // harmless requests sent
    pub served: usize,
    pub held_back: usize, // harmless requests that a router held back
}

impl CrashRunResult {
    /// One line for the terminal.
    pub fn summary(&self) -> String {
        let served = self.served as f64 / self.harmless.max(1) as f64;
        format!(
            "{:?} seed {}: {} ended, {} sent late; {} harmless, served {served:.3}, held back {}",
            self.scenario,
            self.seed,
            self.crashed,
            self.late_arrivals,
            self.harmless,
            self.held_back
        )
    }
}
