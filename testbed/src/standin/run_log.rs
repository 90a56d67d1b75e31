use std::{collections::HashMap, sync::Mutex, time::Instant};

/// One request that reached a stand-in.
#[derive(Debug, Clone)]
pub struct Run {
    pub request_id: String, // as the product named it
    pub nonce: String,      // as the caller marked it
    pub account: String,    // as the caller marked it
    pub started: Instant,
    pub tokens: u32,   // sent so far
    pub ended: bool,   // whole
    pub dropped: bool, // the connection closed first
}

/// What ran, as the stand-in itself saw it: the truth to hold answers against.
#[derive(Default)]
pub struct RunLog {
    runs: Mutex<Vec<Run>>,
}

impl RunLog {
    /// Notes a start and gives its number.
    pub fn start(
        &self,
        request_id: &str,
        nonce: &str,
        account: &str,
    ) -> usize {
        let mut runs = self.runs.lock().expect("run lock");
        runs.push(Run {
            request_id: request_id.to_owned(),
            nonce: nonce.to_owned(),
            account: account.to_owned(),
            started: Instant::now(),
            tokens: 0,
            ended: false,
            dropped: false,
        });
        runs.len() - 1
    }

    /// Changes a run.
    pub fn update(
        &self,
        number: usize,
        change: impl FnOnce(&mut Run),
    ) {
        change(&mut self.runs.lock().expect("run lock")[number]);
    }

    /// Every run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("run lock").clone()
    }

    /// How often each marked request ran.
    pub fn counts(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for run in self.runs.lock().expect("run lock").iter() {
            *counts.entry(run.nonce.clone()).or_default() += 1;
        }
        counts
    }

    /// Runs that are neither whole nor dropped.
    pub fn open(&self) -> usize {
        let runs = self.runs.lock().expect("run lock");
        runs.iter().filter(|run| !run.ended && !run.dropped).count()
    }
}
