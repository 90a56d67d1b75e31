use {
    crate::{
        fleet::{Fleet, FleetPlan, FleetText, nonce},
        load::Sampler,
        standin::{ChatBody, EngineSettings},
    },
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

/// Number of prompt prefixes of each account, and capacity of each engine's cache, which
/// therefore cannot hold the prefixes of all accounts.
const PREFIXES: usize = 6;

/// The ratio of prefix cache hits, and the fairness gap at which it is reached.
#[derive(Debug, Clone, Serialize)]
pub struct PrefixResult {
    pub slack: String, // value of the setting `dispatch.prefix_slack`
    pub hit_ratio: f64,
    pub gap: f64, // fairness gap at the end, in tokens per share
    pub tokens_per_second: f64,
}

/// Measures four accounts with six prefixes each, on four engines that cache six prefixes
/// each.
pub async fn measure_prefix(
    slack: &str,
    seconds: u64,
) -> PrefixResult {
    let text = (1..=4).fold(
        FleetText::default()
            .class("chat", "60 s")
            .models("drafting", "drafter"),
        |text, n| text.account(&format!("a{n}"), 1.0, "chat", ""),
    );
    let engine = EngineSettings {
        slots: 4,
        token_time: Duration::from_millis(5),
        prefill_time: Duration::from_millis(100),
        cached_prefixes: PREFIXES,
    };
    let plan = FleetPlan::new(text)
        .routers(2)
        .engines(4, engine)
        .one_way_delay(Duration::from_millis(1))
        .set_router("dispatch.prefix_slack", slack);
    let fleet = Fleet::start(plan).await;
    let shares: BTreeMap<String, f64> = (1..=4).map(|n| (format!("a{n}"), 1.0)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for account in shares.keys() {
        for index in 0..24 {
            let caller = fleet.caller(index % 2, account);
            let prefix = format!("{account} prefix {} {}", index % PREFIXES, "x".repeat(300));
            let stop = stop.clone();
            callers.spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    let body = ChatBody::new("drafter", &prefix, &nonce(), 30, true);
                    caller.chat(&body).await;
                }
            });
        }
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let sampler = Sampler::begin(&fleet, &shares);
    let before = cache_counts(&fleet);
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = cache_counts(&fleet);
    let sample = sampler.sample(&fleet);
    stop.store(true, Ordering::Relaxed);
    callers.join_all().await;
    let (hit, miss) = (after.0 - before.0, after.1 - before.1);
    PrefixResult {
        slack: slack.to_owned(),
        hit_ratio: hit as f64 / (hit + miss).max(1) as f64,
        gap: sample.gap,
        tokens_per_second: sample.per_share.values().sum::<f64>() / sample.seconds,
    }
}

/// Prefix cache hits and misses of all engines.
fn cache_counts(fleet: &Fleet) -> (u64, u64) {
    fleet
        .sidecars
        .iter()
        .map(|sidecar| sidecar.upstream.engine().cache_counts())
        .fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1))
}
