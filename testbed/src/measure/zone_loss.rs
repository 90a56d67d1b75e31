use {
    crate::{
        fleet::{Fleet, FleetPlan, Outcome, nonce},
        standin::ChatBody,
    },
    serde::Serialize,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::task::JoinSet,
};

/// Outcomes of requests while all sidecars of one availability zone fail.
#[derive(Debug, Clone, Serialize)]
pub struct ZoneLossResult {
    pub requests: u64,
    pub whole: u64,
    pub not_run: u64,
    pub cut_or_unknown: u64,
    pub runs_per_request: f64, // runs at upstreams divided by requests
    pub upstreams_lost: usize,
}

/// Loads every router for `seconds`, kills the sidecars of zone `z1`, and continues the
/// load for as long again.
pub async fn measure_zone_loss(
    plan: FleetPlan,
    accounts: &[&str],
    model: &str,
    seconds: u64,
) -> ZoneLossResult {
    let mut fleet = Fleet::start(plan).await;
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let mut callers = JoinSet::new();
    for (number, account) in accounts.iter().enumerate() {
        for index in 0..12 {
            let caller = fleet.caller((number + index) % fleet.routers.len(), account);
            let (stop, sent, model) = (stop.clone(), sent.clone(), model.to_owned());
            callers.spawn(async move {
                let mut outcomes = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let body = ChatBody::new(&model, "prefix", &nonce(), 40, false);
                    sent.fetch_add(1, Ordering::Relaxed);
                    outcomes.push(caller.chat(&body).await);
                }
                outcomes
            });
        }
    }
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let mut upstreams_lost = 0;
    for sidecar in &mut fleet.sidecars {
        if sidecar.plan.zone == "z1" {
            sidecar.process.kill();
            upstreams_lost += 1;
        }
    }
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    stop.store(true, Ordering::Relaxed);
    let outcomes: Vec<Outcome> = callers.join_all().await.into_iter().flatten().collect();
    let count = |test: fn(&Outcome) -> bool| outcomes.iter().filter(|o| test(o)).count() as u64;
    let runs: usize = fleet.runs_by_nonce().values().sum();
    let (whole, not_run) = (count(Outcome::is_complete), count(Outcome::is_not_run));
    ZoneLossResult {
        requests: outcomes.len() as u64,
        whole,
        not_run,
        cut_or_unknown: outcomes.len() as u64 - whole - not_run,
        runs_per_request: runs as f64 / outcomes.len().max(1) as f64,
        upstreams_lost,
    }
}
