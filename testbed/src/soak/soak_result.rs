use {
    super::version_check::StreamCounts,
    std::{collections::BTreeMap, time::Duration},
};

/// Outcome of one run.
#[derive(Debug)]
pub struct SoakResult {
    pub seed: u64,
    pub faults: Vec<String>,            // with their times
    pub statuses: BTreeMap<u16, usize>, // count by status; 0 for none
    pub violations: Vec<String>,        // guarantees that did not hold, one text each
    pub leaving: usize,                 // replicas that were drained or unlisted
    pub arrivals_in_time: usize,        // requests that reached them within the limit
    pub arrivals_excused: usize,        // later, but a fault kept their router from knowing
    pub lateness: Duration,             // longest scheduling delay of the harness
    pub starved: Duration,              // longest wait of a router for a processor
    pub starved_refusals: usize,        // requests that routers refused for lack of processor
    pub streams: StreamCounts,
    pub valid: bool, // the harness was late by little enough for its times to be trusted
    pub logs: Vec<(String, String)>, // file name and text of each router's log
}

impl SoakResult {
    /// One line for the terminal.
    pub fn summary(&self) -> String {
        let statuses: Vec<String> = self
            .statuses
            .iter()
            .map(|(status, count)| format!("{status}: {count}"))
            .collect();
        format!(
            "seed {}: {} faults, answers {}, {} replicas left ({} requests in time, {} excused), \
             harness late by {} ms{}, \
             routers without a processor for {} ms ({} refusals){}, broken {}",
            self.seed,
            self.faults.len(),
            statuses.join(", "),
            self.leaving,
            self.arrivals_in_time,
            self.arrivals_excused,
            self.lateness.as_millis(),
            if self.valid { "" } else { " (not valid)" },
            self.starved.as_millis(),
            self.starved_refusals,
            self.streams,
            self.violations.len()
        )
    }
}
