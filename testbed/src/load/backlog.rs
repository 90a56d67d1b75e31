use {
    super::{GapSample, Sampler, token_cost},
    crate::{
        fleet::{Caller, Fleet, Outcome, nonce},
        standin::ChatBody,
    },
    rand::{SeedableRng, rngs::StdRng},
    serde::Serialize,
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::task::JoinSet,
};

/// Time between two samples of the fairness gap.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// A load in which every account always has requests waiting.
#[derive(Debug, Clone)]
pub struct Backlog {
    pub model: String,
    pub shares: BTreeMap<String, f64>,
    pub callers: usize,     // per account, each with one request at a time
    pub spread: Vec<usize>, // relative numbers of an account's callers at the routers
    pub median_tokens: f64, // generated tokens of a request
    pub cost_spread: f64,   // standard deviation of the logarithm of a request's tokens
    pub seed: u64,
}

/// The result of a run with backlogged accounts.
#[derive(Debug, Clone, Serialize)]
pub struct BacklogResult {
    pub samples: Vec<GapSample>,
    pub utilisation: f64,
    pub whole: u64,
    pub refused: u64,
    pub cut: u64,
    pub wrong: u64,
    pub control_bytes_per_second: f64, // mean per process
}

impl BacklogResult {
    /// The fairness gap at the end of a quarter of the run, numbered from 1.
    pub fn gap_at(
        &self,
        number: usize,
    ) -> f64 {
        let index = (self.samples.len() * number / 4).max(1) - 1;
        self.samples.get(index).map_or(0.0, |sample| sample.gap)
    }

    /// The largest fairness gap of the run.
    pub fn worst_gap(&self) -> f64 {
        self.samples.iter().map(|s| s.gap).fold(0.0, f64::max)
    }
}

impl Backlog {
    /// Ten accounts of equal share. Each spreads its callers 6:2:1:1 over four routers,
    /// and every account begins at another router than the one before it.
    pub fn ten_accounts(model: &str) -> Self {
        Self {
            model: model.to_owned(),
            shares: (1..=10).map(|n| (format!("a{n}"), 1.0)).collect(),
            callers: 20,
            spread: vec![6, 2, 1, 1],
            median_tokens: 60.0,
            cost_spread: 0.8,
            seed: 1,
        }
    }

    /// Runs for `length` after `warm_up`, and calls `at_each` with every sample.
    pub async fn run(
        &self,
        fleet: &Fleet,
        warm_up: Duration,
        length: Duration,
        mut at_each: impl FnMut(&GapSample),
    ) -> BacklogResult {
        let stop = Arc::new(AtomicBool::new(false));
        let mut callers = self.start_callers(fleet, &stop);
        tokio::time::sleep(warm_up).await;
        let control_before = control_bytes(fleet).await;
        let sampler = Sampler::begin(fleet, &self.shares);
        let mut samples = Vec::new();
        while samples.len() as u32 * SAMPLE_INTERVAL < length {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            let sample = sampler.sample(fleet);
            at_each(&sample);
            samples.push(sample);
        }
        let utilisation = sampler.utilisation(fleet);
        let control = control_bytes(fleet).await - control_before;
        let seconds = samples.last().map_or(1.0, |sample| sample.seconds);
        stop.store(true, Ordering::Relaxed);
        let mut result = BacklogResult {
            samples,
            utilisation,
            whole: 0,
            refused: 0,
            cut: 0,
            wrong: 0,
            control_bytes_per_second: control as f64 / seconds / fleet.operators().len() as f64,
        };
        while let Some(outcomes) = callers.join_next().await {
            result.count(&outcomes.unwrap_or_default());
        }
        result
    }

    fn start_callers(
        &self,
        fleet: &Fleet,
        stop: &Arc<AtomicBool>,
    ) -> JoinSet<Vec<Outcome>> {
        let mut callers = JoinSet::new();
        for (number, account) in self.shares.keys().enumerate() {
            for index in 0..self.callers {
                let router = self.router(number, index, fleet.routers.len());
                let caller = fleet.caller(router, account);
                let random = StdRng::seed_from_u64(self.seed + (number * 1000 + index) as u64);
                callers.spawn(call_until_stopped(
                    self.clone(),
                    caller,
                    random,
                    stop.clone(),
                ));
            }
        }
        callers
    }

    /// The index of the router that a caller of an account uses.
    fn router(
        &self,
        account: usize,
        caller: usize,
        routers: usize,
    ) -> usize {
        let total: usize = self.spread.iter().sum();
        let mut position = caller * total / self.callers;
        for (router, weight) in self.spread.iter().enumerate() {
            if position < *weight {
                return (router + account) % routers;
            }
            position -= weight;
        }
        account % routers
    }
}

impl BacklogResult {
    fn count(
        &mut self,
        outcomes: &[Outcome],
    ) {
        for outcome in outcomes {
            match outcome {
                Outcome::Complete { .. } => self.whole += 1,
                Outcome::Refused { .. } => self.refused += 1,
                Outcome::Truncated | Outcome::NoAnswer => self.cut += 1,
                Outcome::WrongAnswer(what) => {
                    log::error!("wrong answer: {what}");
                    self.wrong += 1;
                }
            }
        }
    }
}

/// Sends one request after the other until `stop` is set.
async fn call_until_stopped(
    load: Backlog,
    caller: Caller,
    mut random: StdRng,
    stop: Arc<AtomicBool>,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let tokens = token_cost(&mut random, load.median_tokens, load.cost_spread);
        let body = ChatBody::new(&load.model, "prefix", &nonce(), tokens, true);
        let outcome = caller.chat(&body).await;
        if !outcome.is_complete() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        outcomes.push(outcome);
    }
    outcomes
}

/// Control bytes sent by all processes since their start.
async fn control_bytes(fleet: &Fleet) -> u64 {
    let mut sum = 0;
    for operator in fleet.operators() {
        if let Some(status) = fleet.status(operator).await {
            sum += status.control_bytes.values().sum::<u64>();
        }
    }
    sum
}
