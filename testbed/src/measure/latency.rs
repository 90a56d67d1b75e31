use {
    super::stats::{median, percentile},
    crate::fleet::{Caller, Fleet, FleetPlan, FleetText, nonce},
    reqwest::Method,
    serde::Serialize,
    std::time::{Duration, Instant},
};

/// Number of calls on each path.
const CALLS: usize = 500;

/// The latency of calls sent directly and through the fleet, in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct LatencyResult {
    pub direct_median: f64,
    pub through_median: f64,
    pub added_median: f64,
    pub direct_p95: f64,
    pub through_p95: f64,
}

/// Calls a plain service alternately directly and through an idle fleet, without an added
/// delay between the processes.
pub async fn measure_latency() -> LatencyResult {
    let text = FleetText::default()
        .class("chat", "20 s")
        .plain("gates", "/gate")
        .account("lot-a", 1.0, "chat", "");
    let plan = FleetPlan::new(text)
        .routers(1)
        .plains(1, 4, Duration::from_millis(1));
    let fleet = Fleet::start(plan).await;
    let direct = Caller::new(fleet.sidecars[0].upstream.address(), "lot-a");
    let through = fleet.caller(0, "lot-a");
    let (mut direct_times, mut through_times) = (Vec::new(), Vec::new());
    for _ in 0..CALLS {
        direct_times.push(time_call(&direct).await);
        through_times.push(time_call(&through).await);
    }
    let (direct_median, through_median) = (median(&direct_times), median(&through_times));
    LatencyResult {
        direct_median,
        through_median,
        added_median: through_median - direct_median,
        direct_p95: percentile(&direct_times, 0.95),
        through_p95: percentile(&through_times, 0.95),
    }
}

async fn time_call(caller: &Caller) -> Duration {
    let started = Instant::now();
    let outcome = caller
        .plain(Method::POST, "/gate/open", &nonce(), None)
        .await;
    assert!(outcome.is_complete(), "{outcome:?}");
    started.elapsed()
}
