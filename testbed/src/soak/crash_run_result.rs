use {super::CrashScenario, std::time::Instant};

/// A harmless request of a run and what became of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HarmlessOutcome {
    pub sent: Instant,
    pub was_served: bool,    // completely, by the first attempt of its caller
    pub was_truncated: bool, // it looked complete, but lacked a part
    pub was_held: bool,      // a router held it back
}

/// Outcome of a run in which a request, or a part of prompts, crashes the replicas that run it.
#[derive(Debug, Clone, PartialEq)]
pub struct CrashRunResult {
    pub scenario: CrashScenario,
    pub seed: u64,
    pub crashed: usize,              // replicas that crashed
    pub arrivals: usize,             // of fatal requests at replicas
    pub late_arrivals: usize,        // of these after every router had to know the request or part
    pub bound_from: Option<Instant>, // from when on harmless requests have to be served again
    pub harmless: Vec<HarmlessOutcome>,
}

impl CrashRunResult {
    /// Number of harmless requests that were held back.
    pub fn held_back(&self) -> usize {
        self.harmless.iter().filter(|it| it.was_held).count()
    }

    /// Number of answers that looked complete and were not.
    pub fn truncated(&self) -> usize {
        self.harmless.iter().filter(|it| it.was_truncated).count()
    }

    /// The share of the harmless requests that were served, of all.
    pub fn served_share(&self) -> f64 {
        served_share(self.harmless.iter())
    }

    /// The same of those that were sent once they had to be served again.
    pub fn late_served_share(&self) -> f64 {
        let from = self.bound_from;
        let late = self.harmless.iter();
        served_share(late.filter(|it| from.is_some_and(|from| it.sent >= from)))
    }

    /// One line for the terminal.
    pub fn summary(&self) -> String {
        format!(
            "{:?} seed {}: {} ended, {} sent, {} sent late; {} harmless, served {:.3}, late {:.3}, held back {}, truncated {}",
            self.scenario,
            self.seed,
            self.crashed,
            self.arrivals,
            self.late_arrivals,
            self.harmless.len(),
            self.served_share(),
            self.late_served_share(),
            self.held_back(),
            self.truncated()
        )
    }
}

fn served_share<'o>(outcomes: impl Iterator<Item = &'o HarmlessOutcome>) -> f64 {
    let (mut count, mut served) = (0_usize, 0_usize);
    for outcome in outcomes {
        count += 1;
        served += usize::from(outcome.was_served);
    }
    served as f64 / count.max(1) as f64
}
