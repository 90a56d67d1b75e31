//! Guarantee 3 beside changes of the configuration, and beside engines that fall silent and go on:
//! a request gets a whole answer, or a refusal that says that it did not run.

use {
    archmast_testbed::{
        fleet::{Caller, Fleet, FleetPlan, FleetText, Outcome, nonce},
        standin::{ChatBody, EngineSettings},
    },
    rand::Rng,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{sync::watch, task::JoinSet},
};

/// How long a series takes.
const SERIES_TIME: Duration = Duration::from_secs(12);

/// Callers of each router.
const CALLERS_PER_ROUTER: usize = 8;

/// Silence of an engine before each token of its answers.
const LONG_SILENCE: Duration = Duration::from_millis(1600);

/// Idle time-out of the connections between routers and sidecars: shorter than a stream.
const IDLE_TIMEOUT: &str = "2 s";

/// Rest of a caller that got no whole answer.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time between two signals.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(300);

/// What callers got, by kind of request and outcome.
type Counts = BTreeMap<(&'static str, String), usize>;

fn text() -> FleetText {
    FleetText::default()
        .class("chat", "30 s")
        .models("drafting", "drafter")
}

fn plan(token_time: Duration) -> FleetPlan {
    let engine = EngineSettings {
        token_time,
        ..EngineSettings::default()
    };
    FleetPlan::new(text().account("lot-a", 1.0, "chat", ""))
        .routers(2)
        .engines(3, engine)
        .set_both("platform.apply", "3 s")
        .set_both("link.idle_timeout", IDLE_TIMEOUT)
        .set_both("link.keep_alive", "500 ms")
}

/// Runs callers until the end of `changes`, and checks what they got.
async fn check_answers(
    fleet: &Fleet,
    tokens: u32,
    changes: impl Future<Output = usize>,
) {
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let stop = watch::Sender::new(false);
    let mut callers = JoinSet::new();
    for number in 0..fleet.routers.len() * CALLERS_PER_ROUTER {
        let caller = fleet.caller(number % fleet.routers.len(), "lot-a");
        let kind = if number % 4 == 0 { "whole" } else { "stream" };
        callers.spawn(send_all_the_time(
            caller,
            kind,
            tokens,
            counts.clone(),
            stop.subscribe(),
        ));
    }
    let changed = changes.await;
    stop.send_replace(true);
    callers.join_all().await;
    let counts = std::mem::take(&mut *counts.lock().expect("lock"));
    println!("{changed} changes: {counts:#?}");
    let broken: Counts = counts
        .iter()
        .filter(|((_, outcome), _)| !outcome.starts_with("complete") && !is_refusal(outcome))
        .map(|(key, count)| (key.clone(), *count))
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
    for kind in ["stream", "whole"] {
        assert!(counts.contains_key(&(kind, "complete".to_owned())));
    }
}

fn is_refusal(outcome: &str) -> bool {
    outcome.starts_with("429 ") || outcome.starts_with("503 ")
}

async fn send_all_the_time(
    caller: Caller,
    kind: &'static str,
    tokens: u32,
    counts: Arc<Mutex<Counts>>,
    stop: watch::Receiver<bool>,
) {
    while !*stop.borrow() {
        let body = ChatBody::new("drafter", "prefix", &nonce(), tokens, kind == "stream");
        let outcome = match caller.chat(&body).await {
            Outcome::Complete { .. } => "complete".to_owned(),
            Outcome::Refused {
                status, code, ran, ..
            } => format!("{status} code {code}, ran: {ran}"),
            other => format!("{other:?}"),
        };
        if outcome != "complete" {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        *counts
            .lock()
            .expect("lock")
            .entry((kind, outcome))
            .or_default() += 1;
    }
}

/// Publishes a configuration each 0.1 to 0.5 s.
async fn publish_series(
    fleet: &Fleet,
    change: impl Fn(usize) -> FleetText,
) -> usize {
    let began = Instant::now();
    let (mut changes, mut revision) = (0, 0);
    while began.elapsed() < SERIES_TIME {
        let rest = Duration::from_millis(rand::rng().random_range(100..500));
        tokio::time::sleep(rest).await;
        changes += 1;
        let config = FleetPlan {
            config: change(changes),
            ..fleet.plan.clone()
        };
        let text = config.config_text();
        revision = fleet.platform.publish_fleet(text.text());
    }
    fleet.wait_for_revision(&fleet.operators(), revision).await;
    changes
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_that_are_silent_before_each_token_end_no_answer() {
    const TOKENS: u32 = 4;
    let fleet = Fleet::start(plan(LONG_SILENCE)).await;
    let wait = async {
        tokio::time::sleep(SERIES_TIME).await;
        0
    };
    check_answers(&fleet, TOKENS, wait).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn accounts_and_classes_that_change_beside_silent_engines_end_no_answer() {
    const TOKENS: u32 = 3;
    let fleet = Fleet::start(plan(LONG_SILENCE)).await;
    let change = |number: usize| {
        let patience = format!("{} s", 20 + number % 10);
        let others = (0..number % 7).fold(
            FleetText::default()
                .class("chat", &patience)
                .models("drafting", "drafter")
                .account("lot-a", 1.0 + number as f64, "chat", ""),
            |text, other| text.account(&format!("lot-{number}-{other}"), 1.0, "chat", ""),
        );
        match number % 2 {
            0 => others,
            _ => others.class("batch", "60 s").models("other", "other"),
        }
    };
    let changes = publish_series(&fleet, change);
    check_answers(&fleet, TOKENS, changes).await;
}

/// Each version places requests on two of the three engines only.
#[tokio::test(flavor = "multi_thread")]
async fn placement_that_changes_under_running_requests_ends_no_answer() {
    const TOKENS: u32 = 100;
    let fleet = Fleet::start(plan(Duration::from_millis(10))).await;
    let change = |number: usize| {
        let hosts = format!("number != {}", number % 3 + 1);
        text().account("lot-a", 1.0, "chat", "").rule(
            "moved",
            &[("requests", "account = lot-a"), ("hosts", &hosts)],
        )
    };
    let changes = publish_series(&fleet, change);
    check_answers(&fleet, TOKENS, changes).await;
}

/// Guards against SIGHUP ending the process, with all that it was answering.
#[tokio::test(flavor = "multi_thread")]
async fn signals_that_settings_have_changed_end_no_answer() {
    const TOKENS: u32 = 100;
    let fleet = Fleet::start(plan(Duration::from_millis(10))).await;
    let signals = async {
        let began = Instant::now();
        let routers = fleet.routers.iter().map(|router| &router.process);
        let sidecars = fleet.sidecars.iter().map(|sidecar| &sidecar.process);
        let processes: Vec<_> = routers.chain(sidecars).collect();
        let mut signals = 0;
        while began.elapsed() < SERIES_TIME {
            tokio::time::sleep(SIGNAL_INTERVAL).await;
            processes[signals % processes.len()].signal_reload();
            signals += 1;
        }
        signals
    };
    check_answers(&fleet, TOKENS, signals).await;
}
