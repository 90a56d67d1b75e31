use {
    super::{GapMeter, Sampler, TraceRow},
    crate::{
        fleet::{Deployment, Fleet, Outcome, Work, nonce},
        measure::{control_since, control_snapshot},
        standin::ChatBody,
    },
    archmast::fleet::LABELS_HEADER,
    reqwest::Method,
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// Time between two samples of the fairness gap.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// The outcomes of the requests of a traffic class.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassResult {
    pub requests: u64,
    pub whole: u64,
    pub in_patience: u64, // complete, with the first byte within the class's patience
    pub not_run: u64,     // refused with the statement that they did not run
    pub other: u64,       // truncated, not answered, or refused but possibly run
    pub wrong: u64,       // with missing or foreign content
}

/// The result of replaying a trace.
#[derive(Debug, Clone, Serialize)]
pub struct ReplayResult {
    pub classes: BTreeMap<String, ClassResult>,
    pub gaps: Vec<(f64, f64)>, // seconds since the start, and the fairness gap then
    pub worst_gap: f64,
    pub service: BTreeMap<String, f64>, // tokens per share, by account, at the end
    pub utilisation: f64,               // of slots while requests waited, as the sidecars report it
    pub router_control: f64,            // control bytes a second, mean per router
    pub sidecar_control: f64,           // control bytes a second, mean per sidecar
    pub doubled: u64, // plain calls that ran twice although they may not be repeated
}

/// Replays a trace on a fleet that is ready. `at_each` is called with the number of
/// completed requests.
pub async fn replay(
    fleet: &Fleet,
    deployment: &Deployment,
    rows: &[TraceRow],
    mut at_each: impl FnMut(usize),
) -> ReplayResult {
    let sampler = Sampler::begin(fleet, &deployment.shares);
    let before = control_snapshot(fleet).await;
    let started = Instant::now();
    let mut requests = start_requests(fleet, deployment, rows);
    let mut classes: BTreeMap<String, ClassResult> = BTreeMap::new();
    let mut meter = GapMeter::default();
    let (mut gaps, mut ended) = (Vec::new(), 0);
    let mut ticks = tokio::time::interval(SAMPLE_INTERVAL);
    loop {
        tokio::select! {
            joined = requests.join_next() => {
                let Some(joined) = joined else { break };
                let (class, outcome) = joined.expect("a caller does not panic");
                let patience = deployment.patience[&class];
                classes.entry(class).or_default().count(&outcome, patience);
                ended += 1;
                at_each(ended);
            }
            _ = ticks.tick() => {
                let waiting = backlogged(fleet).await;
                let sample = sampler.sample(fleet);
                let gap = meter.observe(&sample.per_share, &waiting);
                gaps.push((started.elapsed().as_secs_f64(), gap));
            }
        }
    }
    let control = control_since(&before, &control_snapshot(fleet).await);
    ReplayResult {
        classes,
        gaps,
        worst_gap: meter.worst,
        service: sampler.sample(fleet).per_share,
        utilisation: contended_utilisation(fleet).await,
        router_control: control.router_total,
        sidecar_control: control.sidecar_total,
        doubled: count_repeated_calls(fleet),
    }
}

impl ClassResult {
    fn count(
        &mut self,
        outcome: &Outcome,
        patience: Duration,
    ) {
        self.requests += 1;
        match outcome {
            Outcome::Complete { first, .. } => {
                self.whole += 1;
                self.in_patience += u64::from(*first <= patience);
            }
            Outcome::WrongAnswer(_) => self.wrong += 1,
            refused if refused.is_not_run() => self.not_run += 1,
            _ => self.other += 1,
        }
    }
}

fn start_requests(
    fleet: &Fleet,
    deployment: &Deployment,
    rows: &[TraceRow],
) -> JoinSet<(String, Outcome)> {
    let mut requests = JoinSet::new();
    for (number, row) in rows.iter().enumerate() {
        let router = assign_router(number, &row.account, fleet.routers.len());
        let caller = fleet
            .caller(router, &row.account)
            .with_header(LABELS_HEADER, &format!("work={}", row.class));
        let work = deployment.work[&row.class];
        let row = row.clone();
        requests.spawn(async move {
            tokio::time::sleep(row.at).await;
            let outcome = match work {
                Work::Model(model) => {
                    let prefix = "x".repeat(4 * row.context_tokens as usize);
                    let tokens = row.generated_tokens.max(1);
                    let body = ChatBody::new(model, &prefix, &nonce(), tokens, true);
                    caller.chat(&body).await
                }
                Work::Plain(path) => caller.plain(Method::POST, path, &nonce(), None).await,
            };
            (row.class, outcome)
        });
    }
    requests
}

/// Assigns a request to a router. Three in five requests of an account go to the same
/// router, the others in turn to all, so that the routers' loads differ by account.
fn assign_router(
    number: usize,
    account: &str,
    routers: usize,
) -> usize {
    let main_router = account.bytes().map(usize::from).sum::<usize>();
    let offset = if number % 5 < 3 { 0 } else { number };
    (main_router + offset) % routers
}

/// The accounts that have requests waiting at any router.
async fn backlogged(fleet: &Fleet) -> BTreeSet<String> {
    let mut waiting = BTreeSet::new();
    for router in &fleet.routers {
        let status = fleet.status(router.operator).await;
        let accounts = status.map_or_else(Vec::new, |status| status.accounts);
        for account in accounts.into_iter().filter(|a| a.waiting > 0) {
            waiting.insert(account.account);
        }
    }
    waiting
}

/// Busy slot time divided by slot time while requests waited, since the sidecars started.
async fn contended_utilisation(fleet: &Fleet) -> f64 {
    let (mut busy, mut time) = (0, 0);
    for sidecar in &fleet.sidecars {
        if let Some(status) = fleet.status(sidecar.operator).await {
            busy += status.contended_busy_slot_ms;
            time += status.contended_ms * u64::from(status.slots);
        }
    }
    busy as f64 / (time as f64).max(1.0)
}

/// Number of plain calls that ran more than once. None of them may be repeated.
fn count_repeated_calls(fleet: &Fleet) -> u64 {
    fleet
        .sidecars
        .iter()
        .filter(|sidecar| sidecar.plan.host.starts_with('p'))
        .flat_map(|sidecar| sidecar.upstream.log().runs_by_nonce().into_values())
        .filter(|runs| *runs > 1)
        .count() as u64
}
