//! Guarantees 1 and 2: the gap between the normalized service of backlogged client accounts
//! stays bounded over the whole fleet, and none starves.
//!
//! The bound is stated in requests: a few of the longest that each upstream may hold. The
//! length of a run is measured in tokens served, not in time.

use {
    archmast_testbed::{
        fleet::{Fleet, FleetPlan, FleetText, nonce, wait_until},
        load::Sampler,
        standin::{ChatBody, EngineSettings},
    },
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

/// Generated tokens of each request.
const TOKENS: u32 = 20;

/// Slots of all upstreams of the fleet.
const SLOTS: f64 = 16.0;

/// Largest allowed gap in tokens: twice what the whole fleet runs at once.
const MAX_GAP_TOKENS: f64 = 2.0 * SLOTS * TOKENS as f64;

fn plan() -> FleetPlan {
    let mut text = FleetText::default()
        .class("patient", "120 s")
        .models("drafting", "drafter");
    for number in 1..=5 {
        let labels = if number <= 2 { "bound=yes" } else { "" };
        text = text.account(&format!("a{number}"), 1.0, "patient", labels);
    }
    let engine = EngineSettings {
        slots: 4,
        token_time: Duration::from_millis(10),
        prefill_time: Duration::ZERO,
        cached_prefixes: 4,
    };
    FleetPlan::new(text)
        .routers(3)
        .engines(4, engine)
        .set_sidecar("fairness.report_interval", "100 ms")
        .set_sidecar("fairness.slack", "0")
}

/// A plan whose rules restrict two of five accounts to half of the fleet.
fn bound_plan() -> FleetPlan {
    let mut plan = plan();
    plan.config = plan.config.rule(
        "half",
        &[("requests", "bound = yes"), ("hosts", "number in (1 2)")],
    );
    plan
}

fn shares() -> BTreeMap<String, f64> {
    (1..=5).map(|n| (format!("a{n}"), 1.0)).collect()
}

/// Callers that keep every account backlogged, unevenly over the routers.
struct Load {
    stop: Arc<AtomicBool>,
    callers: JoinSet<()>,
}

impl Load {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for (number, account) in shares().into_keys().enumerate() {
            for index in 0..12 {
                let router = if index < 8 {
                    number % 3
                } else {
                    (number + 1) % 3
                };
                let caller = fleet.caller(router, &account);
                let stop = stop.clone();
                callers.spawn(async move {
                    while !stop.load(Ordering::Relaxed) {
                        let body = ChatBody::new("drafter", "p", &nonce(), TOKENS, true);
                        if !caller.chat(&body).await.is_complete() {
                            tokio::time::sleep(Duration::from_millis(20)).await;
                        }
                    }
                });
            }
        }
        Self { stop, callers }
    }

    async fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.callers.join_all().await;
    }
}

fn served(
    sampler: &Sampler,
    fleet: &Fleet,
) -> f64 {
    sampler.sample(fleet).per_share.values().sum()
}

/// Waits until the fleet has served so many more tokens, and returns the gap.
async fn gap_after(
    fleet: &Fleet,
    sampler: &Sampler,
    tokens: f64,
) -> f64 {
    let before = served(sampler, fleet);
    wait_until("the fleet has served so many tokens more", || {
        served(sampler, fleet) > before + tokens
    })
    .await;
    sampler.sample(fleet).gap
}

/// Returns the gaps after 10 000 and 20 000 tokens, with `disturb` in between.
async fn gaps(
    plan: FleetPlan,
    disturb: impl AsyncFnOnce(&mut Fleet),
) -> (f64, f64) {
    let mut fleet = Fleet::start(plan).await;
    let load = Load::start(&fleet);
    wait_until("every account waits and runs", || {
        fleet.runs_by_nonce().len() > 200
    })
    .await;
    let sampler = Sampler::begin(&fleet, &shares());
    let once = gap_after(&fleet, &sampler, 10_000.0).await;
    disturb(&mut fleet).await;
    let twice = gap_after(&fleet, &sampler, 10_000.0).await;
    load.end().await;
    (once, twice)
}

#[tokio::test(flavor = "multi_thread")]
async fn accounts_spread_unevenly_stay_level() {
    let (once, twice) = gaps(plan(), async |_| {}).await;
    assert!(
        once <= MAX_GAP_TOKENS && twice <= MAX_GAP_TOKENS,
        "{once} then {twice}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn accounts_bound_to_half_of_the_fleet_stay_level() {
    let (once, twice) = gaps(bound_plan(), async |_| {}).await;
    assert!(
        once <= MAX_GAP_TOKENS && twice <= MAX_GAP_TOKENS,
        "{once} then {twice}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn without_fleet_totals_the_gap_grows() {
    let plan = bound_plan().set_sidecar("fairness.totals", "local");
    let (once, twice) = gaps(plan, async |_| {}).await;
    assert!(
        twice > MAX_GAP_TOKENS && twice > once,
        "{once} then {twice}"
    );
}

/// Each account has an aggregator, the router that sums its service over the fleet. Two of the three
/// routers are killed and restarted in turn, then a sidecar.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_keeper_and_a_restarted_sidecar_keep_accounts_level() {
    let (once, twice) = gaps(bound_plan(), async |fleet| {
        for index in 0..2 {
            fleet.routers[index].process.kill();
            let before = fleet.runs_by_nonce().len();
            wait_until("the others serve", || {
                fleet.runs_by_nonce().len() > before + 50
            })
            .await;
            fleet.routers[index].process.restart().expect("it starts");
            fleet.wait_until_ready().await;
        }
        fleet.sidecars[0].process.kill();
        fleet.sidecars[0].process.restart().expect("it starts");
        fleet.wait_until_ready().await;
    })
    .await;
    // While a router is down, the accounts of its callers are not backlogged.
    let max_gap_after_restarts = 4.0 * MAX_GAP_TOKENS;
    assert!(
        once <= MAX_GAP_TOKENS && twice <= max_gap_after_restarts,
        "{once} then {twice}"
    );
}

/// Packets are lost with probability 0.3 in each direction, so that about half of the exchanges of a
/// message and its reply fail.
#[tokio::test(flavor = "multi_thread")]
async fn half_of_the_packets_lost_for_a_while_keeps_accounts_level() {
    let (once, twice) = gaps(bound_plan(), async |fleet| {
        for sidecar in &fleet.sidecars {
            sidecar.link.update_faults(|faults| faults.drop = 0.3);
        }
        let before = fleet.runs_by_nonce().len();
        wait_until("requests run", || {
            fleet.runs_by_nonce().len() > before + 100
        })
        .await;
        for sidecar in &fleet.sidecars {
            sidecar.link.update_faults(|faults| faults.drop = 0.0);
        }
    })
    .await;
    assert!(
        once <= MAX_GAP_TOKENS && twice <= 2.0 * MAX_GAP_TOKENS,
        "{once} then {twice}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_of_one_account_starves_no_other() {
    let fleet = Fleet::start(plan().set_router("waiting.max_per_account", "2000")).await;
    let mut flood = JoinSet::new();
    for index in 0..600 {
        let caller = fleet.caller(index % 3, "a1");
        flood.spawn(async move {
            let body = ChatBody::new("drafter", "p", &nonce(), TOKENS, false);
            caller.chat(&body).await
        });
    }
    wait_until("the flood runs", || fleet.runs_by_nonce().len() > 16).await;
    for account in ["a2", "a3", "a4", "a5"] {
        let body = ChatBody::new("drafter", "p", &nonce(), TOKENS, false);
        let outcome = fleet.caller(0, account).chat(&body).await;
        assert!(outcome.is_complete(), "{account}: {outcome:?}");
    }
    assert!(!flood.is_empty());
    let done = fleet.runs_by_nonce().len();
    assert!(
        done < 600,
        "the small accounts did not wait for the flood: {done}"
    );
    flood.abort_all();
}

#[tokio::test(flavor = "multi_thread")]
async fn accounts_get_service_by_their_shares() {
    let mut plan = plan();
    plan.config = plan
        .config
        .rule("more", &[("requests", "account = a5"), ("share", "3")]);
    let fleet = Fleet::start(plan).await;
    let load = Load::start(&fleet);
    wait_until("requests run", || fleet.runs_by_nonce().len() > 200).await;
    let mut by_share = shares();
    by_share.insert("a5".to_owned(), 3.0);
    let sampler = Sampler::begin(&fleet, &by_share);
    let gap = gap_after(&fleet, &sampler, 15_000.0).await;
    load.end().await;
    assert!(gap <= MAX_GAP_TOKENS, "{gap}");
}
