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
    pub request_id: String, // as the product named it
    pub nonce: String,      // as the caller marked it
    pub account: String,    // as the caller marked it
    pub started: Instant,
    pub tokens: u32,   // sent so far
    pub ended: bool,   // whole
    pub dropped: bool, // the connection closed first
}

/// What ran, as the stand-in itself saw it: the truth to hold answers against.
pub struct RunLog {
    begun: Instant,
    runs: Mutex<Vec<Run>>,
    slots: Mutex<(SlotClock, usize)>, // and how many are taken now
}

impl Default for RunLog {
    fn default() -> Self {
        Self {
            begun: Instant::now(),
            runs: Mutex::default(),
            slots: Mutex::default(),
        }
    }
}

impl RunLog {
    /// Notes that a slot was taken, or given back.
    pub fn slot(
        &self,
        taken: bool,
    ) {
        let mut slots = self.slots.lock().expect("slot lock");
        slots.1 = if taken { slots.1 + 1 } else { slots.1 - 1 };
        let used = slots.1;
        slots.0.observe(self.begun.elapsed(), used, false);
    }

    /// Busy slot time so far.
    pub fn busy(&self) -> Duration {
        let mut slots = self.slots.lock().expect("slot lock");
        let used = slots.1;
        slots.0.observe(self.begun.elapsed(), used, false);
        slots.0.busy()
    }

    /// Tokens sent so far, and requests whole, by account.
    pub fn service(&self) -> HashMap<String, (u64, u64)> {
        let mut service: HashMap<String, (u64, u64)> = HashMap::new();
        for run in self.runs.lock().expect("run lock").iter() {
            let sums = service.entry(run.account.clone()).or_default();
            sums.0 += u64::from(run.tokens);
            sums.1 += u64::from(run.ended);
        }
        service
    }

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
