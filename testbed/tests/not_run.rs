//! Guarantee 4: a request answered as not run did not run. Guarantee 5: a request that must run
//! at most once does. The answers that callers got are checked against the run counts of the
//! stand-ins.

use {
    archmast_testbed::{
        fleet::{
            Caller, Fleet, FleetPlan, FleetText, Outcome, nonce, wait_until, wait_until_async,
        },
        standin::{ChatBody, EngineFault, EngineSettings},
    },
    reqwest::Method,
    std::{collections::HashMap, time::Duration},
    tokio::task::JoinSet,
};

fn plan() -> FleetPlan {
    let text = FleetText::default()
        .class("quick", "3 s")
        .class("patient", "60 s")
        .models("drafting", "drafter")
        .plain("gates", "/gate")
        .account("lot-a", 1.0, "quick", "")
        .account("lot-b", 1.0, "patient", "");
    FleetPlan::new(text)
        .routers(2)
        .plains(3, 2, Duration::from_millis(20))
}

/// Sends a plain call that must run at most once. Returns its nonce and outcome.
async fn charge(
    caller: Caller,
    key: Option<String>,
) -> (String, Outcome) {
    let nonce = nonce();
    let outcome = caller
        .plain(Method::POST, "/gate/charge", &nonce, key.as_deref())
        .await;
    (nonce, outcome)
}

/// Keeps callers sending requests while `disturb` runs, and returns every outcome.
async fn charges_during(
    fleet: &mut Fleet,
    disturb: impl AsyncFnOnce(&mut Fleet),
) -> Vec<(String, Outcome)> {
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let mut callers = JoinSet::new();
    for index in 0..16 {
        let account = if index % 2 == 0 { "lot-a" } else { "lot-b" };
        let caller = fleet.caller(index % fleet.routers.len(), account);
        let stopped = stopped.clone();
        callers.spawn(async move {
            let mut outcomes = Vec::new();
            while !*stopped.borrow() {
                let outcome = charge(caller.clone(), None).await;
                if matches!(outcome.1, Outcome::NoAnswer) {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                outcomes.push(outcome);
            }
            outcomes
        });
    }
    let before = fleet.runs_by_nonce().len();
    wait_until("calls run", || fleet.runs_by_nonce().len() > before + 50).await;
    disturb(fleet).await;
    let before = fleet.runs_by_nonce().len();
    wait_until("calls run again", || {
        fleet.runs_by_nonce().len() > before + 50
    })
    .await;
    stop.send(true).expect("callers listen");
    callers.join_all().await.into_iter().flatten().collect()
}

fn assert_guarantees(
    counts: &HashMap<String, usize>,
    outcomes: &[(String, Outcome)],
) {
    for (nonce, outcome) in outcomes {
        let runs = counts.get(nonce).copied().unwrap_or(0);
        assert!(runs <= 1, "{nonce} ran {runs} times: {outcome:?}");
        if outcome.is_not_run() {
            assert_eq!(runs, 0, "{nonce} was said not to have run: {outcome:?}");
        }
        if outcome.is_complete() {
            assert_eq!(runs, 1, "{nonce}");
        }
        assert!(!matches!(outcome, Outcome::WrongAnswer(_)), "{outcome:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_sidecar_leads_to_no_false_answer() {
    let mut fleet = Fleet::start(plan()).await;
    let outcomes = charges_during(&mut fleet, async |fleet| {
        fleet.sidecars[0].process.kill();
        let before = fleet.runs_by_nonce().len();
        wait_until("the others go on", || {
            fleet.runs_by_nonce().len() > before + 50
        })
        .await;
        fleet.sidecars[0].process.restart().expect("it starts");
        fleet.wait_until_ready().await;
    })
    .await;
    assert_guarantees(&fleet.runs_by_nonce(), &outcomes);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_sidecar_that_wakes_runs_nothing_it_was_not_asked_to() {
    let mut fleet = Fleet::start(plan()).await;
    let outcomes = charges_during(&mut fleet, async |fleet| {
        fleet.sidecars[0].process.freeze();
        let router = fleet.routers[0].operator;
        wait_until_async("the router loses its connection", async || {
            let status = fleet.status(router).await;
            status.is_some_and(|s| s.peers.iter().all(|peer| peer.host != "p1"))
        })
        .await;
        fleet.sidecars[0].process.thaw();
        fleet.wait_until_ready().await;
    })
    .await;
    assert_guarantees(&fleet.runs_by_nonce(), &outcomes);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_router_that_wakes_acts_on_no_old_grant() {
    let mut fleet = Fleet::start(plan()).await;
    let outcomes = charges_during(&mut fleet, async |fleet| {
        fleet.routers[0].process.freeze();
        let sidecar = fleet.sidecars[0].operator;
        wait_until_async("the sidecar loses its connection", async || {
            let status = fleet.status(sidecar).await;
            status.is_some_and(|s| s.peers.iter().all(|peer| peer.host != "r1"))
        })
        .await;
        fleet.routers[0].process.thaw();
        let router = fleet.routers[0].operator;
        wait_until_async("the router notices its suspension", async || {
            let trail = fleet.audit(router).await;
            trail.iter().any(|entry| entry.what == "paused")
        })
        .await;
        fleet.wait_until_ready().await;
    })
    .await;
    assert_guarantees(&fleet.runs_by_nonce(), &outcomes);
}

#[tokio::test(flavor = "multi_thread")]
async fn blocked_links_between_router_and_sidecar_lead_to_no_false_answer() {
    let mut fleet = Fleet::start(plan()).await;
    let outcomes = charges_during(&mut fleet, async |fleet| {
        for sidecar in 0..2 {
            fleet.set_partition(0, sidecar, true);
        }
        let router = fleet.routers[0].operator;
        wait_until_async("the router loses its connections", async || {
            let status = fleet.status(router).await;
            status.is_some_and(|s| s.peers.len() == 1)
        })
        .await;
        for sidecar in 0..2 {
            fleet.set_partition(0, sidecar, false);
        }
        fleet.wait_until_ready().await;
    })
    .await;
    assert_guarantees(&fleet.runs_by_nonce(), &outcomes);
}

#[tokio::test(flavor = "multi_thread")]
async fn duplicated_lost_and_reordered_packets_run_nothing_twice() {
    let mut fleet = Fleet::start(plan()).await;
    let outcomes = charges_during(&mut fleet, async |fleet| {
        for sidecar in &fleet.sidecars {
            sidecar.link.update_faults(|faults| {
                faults.drop = 0.05;
                faults.duplicate = 0.3;
                faults.reorder = 0.2;
            });
        }
        let before = fleet.runs_by_nonce().len();
        wait_until("calls go on", || fleet.runs_by_nonce().len() > before + 100).await;
    })
    .await;
    assert_guarantees(&fleet.runs_by_nonce(), &outcomes);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_upstream_connection_is_cut_is_unknown_and_not_repeated() {
    let fleet = Fleet::start(plan()).await;
    for sidecar in &fleet.sidecars {
        let long = Duration::from_secs(30);
        sidecar.upstream.plain().set_service_time(long);
    }
    let request = tokio::spawn(charge(fleet.caller(0, "lot-a"), None));
    wait_until("the request runs", || fleet.running_count() == 1).await;
    for sidecar in &fleet.sidecars {
        sidecar.upstream_link.close_connections();
    }
    let (nonce, outcome) = request.await.expect("a caller");
    let Outcome::Refused { ran, .. } = &outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(ran, "unknown");
    assert_eq!(fleet.runs_by_nonce()[&nonce], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_reported_as_not_run_did_not_run_when_all_sidecars_are_killed() {
    let mut fleet = Fleet::start(plan()).await;
    for sidecar in &mut fleet.sidecars {
        sidecar.process.kill();
    }
    let (nonce, outcome) = charge(fleet.caller(0, "lot-a"), None).await;
    if outcome.is_not_run() {
        assert_eq!(fleet.runs_by_nonce().get(&nonce), None);
    }
    assert!(!outcome.is_complete());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_with_the_same_key_through_another_router_runs_once() {
    let fleet = Fleet::start(plan()).await;
    for sidecar in &fleet.sidecars {
        let time = Duration::from_millis(300);
        sidecar.upstream.plain().set_service_time(time);
    }
    let key = Some("charge-17".to_owned());
    let first = tokio::spawn(charge(fleet.caller(0, "lot-a"), key.clone()));
    wait_until("the first runs", || fleet.running_count() == 1).await;
    let (_, during) = charge(fleet.caller(1, "lot-a"), key.clone()).await;
    assert_eq!(during.code(), Some(40), "{during:?}");
    let (_, outcome) = first.await.expect("a caller");
    assert!(outcome.is_complete(), "{outcome:?}");
    let (_, after) = charge(fleet.caller(1, "lot-a"), key.clone()).await;
    assert_eq!(after.code(), Some(41), "{after:?}");
    let (_, other) = charge(fleet.caller(1, "lot-b"), key).await;
    assert!(other.is_complete(), "another account's key is another key");
    assert_eq!(fleet.runs_by_nonce().values().sum::<usize>(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_sidecar_refuses_keys_it_may_have_forgotten() {
    let quarantine = plan().set_sidecar("once.key_quarantine", "60 s");
    let fleet = Fleet::start(quarantine).await;
    let (nonce, outcome) = charge(fleet.caller(0, "lot-a"), Some("k".to_owned())).await;
    assert_eq!(outcome.code(), Some(42), "{outcome:?}");
    assert!(outcome.is_not_run());
    assert_eq!(fleet.runs_by_nonce().get(&nonce), None);
    let (_, unkeyed) = charge(fleet.caller(0, "lot-a"), None).await;
    assert!(unkeyed.is_complete(), "{unkeyed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_request_is_retried_and_an_unknown_outcome_stays_unknown() {
    let text = FleetText::default()
        .class("chat", "4 s")
        .models("drafting", "drafter")
        .account("lot-a", 1.0, "chat", "");
    let plan = FleetPlan::new(text)
        .routers(1)
        .engines(2, EngineSettings::default())
        .set_router("dispatch.retry_fraction", "1")
        .set_sidecar("upstream.silence_limit", "300 ms");
    let fleet = Fleet::start(plan).await;
    fleet.sidecars[0]
        .upstream
        .engine()
        .set_fault(EngineFault::NoAnswer);
    let mut outcomes = Vec::new();
    for _ in 0..6 {
        let body = ChatBody::new("drafter", "prefix", &nonce(), 3, false);
        outcomes.push(fleet.caller(0, "lot-a").chat(&body).await);
    }
    let whole = outcomes.iter().filter(|o| o.is_complete()).count();
    assert!(whole >= 4, "{outcomes:?}");
    fleet.sidecars[1]
        .upstream
        .engine()
        .set_fault(EngineFault::NoAnswer);
    let body = ChatBody::new("drafter", "prefix", &nonce(), 3, false);
    let outcome = fleet.caller(0, "lot-a").chat(&body).await;
    assert!(
        !outcome.is_complete() && !outcome.is_not_run(),
        "{outcome:?}"
    );
}
