use {
    archmast::policy::SlotClock,
    std::{
        collections::HashMap,
        sync::Mutex,
        time::{Duration, Instant},
    },
};

/// One request that reached a stand-in.
#[derive(Debug, Clone)]
pub struct Run {
    pub request_id: String, // set by the router
    pub nonce: String,      // set by the caller
    pub account: String,    // set by the caller
    pub started: Instant,
    pub tokens: u32,        // sent so far
    pub is_complete: bool,  // answered completely
    pub is_cancelled: bool, // the connection closed before the answer was complete
}

/// Every request that reached a stand-in, as the stand-in itself recorded it. Tests
/// compare it with what callers and routers report.
pub struct RunLog {
    started: Instant,
    runs: Mutex<Vec<Run>>,
    slots: Mutex<(SlotClock, usize)>, // the clock of busy slots, and how many are busy now
}

impl Default for RunLog {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            runs: Mutex::default(),
            slots: Mutex::default(),
        }
    }
}

impl RunLog {
    /// Records that a slot was taken, or freed.
    pub fn record_slot(
        &self,
        taken: bool,
    ) {
        let mut slots = self.slots.lock().expect("slot lock");
        slots.1 = if taken { slots.1 + 1 } else { slots.1 - 1 };
        let used = slots.1;
        slots.0.observe(self.started.elapsed(), used, false);
    }

    /// Time that slots were busy since the start, summed over all slots.
    pub fn busy_slot_time(&self) -> Duration {
        let mut slots = self.slots.lock().expect("slot lock");
        let used = slots.1;
        slots.0.observe(self.started.elapsed(), used, false);
        slots.0.busy()
    }

    /// Tokens sent and requests answered completely since the start, by account.
    pub fn service_by_account(&self) -> HashMap<String, (u64, u64)> {
        let mut service: HashMap<String, (u64, u64)> = HashMap::new();
        for run in self.runs.lock().expect("run lock").iter() {
            let sums = service.entry(run.account.clone()).or_default();
            sums.0 += u64::from(run.tokens);
            sums.1 += u64::from(run.is_complete);
        }
        service
    }

    /// Records a request and returns its index in the log.
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
            is_complete: false,
            is_cancelled: false,
        });
        runs.len() - 1
    }

    /// Changes the entry with this index.
    pub fn update(
        &self,
        number: usize,
        change: impl FnOnce(&mut Run),
    ) {
        change(&mut self.runs.lock().expect("run lock")[number]);
    }

    /// All entries, in order of arrival.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("run lock").clone()
    }

    /// How many entries each nonce has.
    pub fn runs_by_nonce(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for run in self.runs.lock().expect("run lock").iter() {
            *counts.entry(run.nonce.clone()).or_default() += 1;
        }
        counts
    }

    /// Number of requests that are neither answered completely nor cancelled.
    pub fn running_count(&self) -> usize {
        let runs = self.runs.lock().expect("run lock");
        runs.iter()
            .filter(|run| !run.is_complete && !run.is_cancelled)
            .count()
    }
}
