use std::{collections::BTreeMap, time::Duration};

/// What one run showed.
#[derive(Debug)]
pub struct SoakResult {
    pub seed: u64,
    pub faults: Vec<String>,            // in words, with their times
    pub statuses: BTreeMap<u16, usize>, // answers by status, 0 for none
    pub broken: Vec<String>,
    pub leaving: usize,              // replicas that left
    pub arrivals_in_time: usize,     // requests that reached these since
    pub arrivals_excused: usize,     // later than allowed, but in trouble
    pub lateness: Duration,          // of the harness itself, at most
    pub starved: Duration,           // of a router for want of a processor, at most
    pub starved_refusals: usize,     // requests that routers refused since
    pub valid: bool,                 // the harness was not too late to tell
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
            "seed {}: {} faults, answers {}, {} replicas left ({} requests in time, {} excused), \
             harness late by {} ms{}, \
             routers without a processor for {} ms ({} refusals), broken {}",
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
            self.broken.len()
        )
    }
}
