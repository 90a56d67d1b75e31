//! Guarantee 3: a caller gets the complete answer to its own request, or a visible error. Every
//! token carries the mark of its request, and the caller checks each token.

use {
    archmast_testbed::{
        fleet::{Fleet, FleetPlan, FleetText, Outcome, nonce, wait_until},
        standin::{ChatBody, EngineFault, EngineSettings},
    },
    std::{sync::Arc, time::Duration},
    tokio::task::JoinSet,
};

/// More requests than one sidecar holds: 8 in the slots of its upstream, and at most 8 queued.
const REQUESTS_FOR_TWO_SIDECARS: usize = 20;

fn plan() -> FleetPlan {
    let text = FleetText::default()
        .class("chat", "60 s")
        .models("drafting", "drafter")
        .account("lot-a", 1.0, "chat", "")
        .account("lot-b", 1.0, "chat", "");
    FleetPlan::new(text)
        .routers(2)
        .engines(2, EngineSettings::default())
}

/// Sends `count` requests at once, half of them streamed, over all routers.
fn send_many(
    fleet: &Arc<Fleet>,
    count: usize,
    tokens: u32,
) -> JoinSet<Outcome> {
    let mut requests = JoinSet::new();
    for index in 0..count {
        let account = if index % 3 == 0 { "lot-a" } else { "lot-b" };
        let caller = fleet.caller(index % fleet.routers.len(), account);
        requests.spawn(async move {
            let body = ChatBody::new("drafter", "prefix", &nonce(), tokens, index % 2 == 0);
            caller.chat(&body).await
        });
    }
    requests
}

fn assert_none_wrong(outcomes: &[Outcome]) {
    for outcome in outcomes {
        assert!(!matches!(outcome, Outcome::WrongAnswer(_)), "{outcome:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_reordered_and_duplicated_packets_mix_up_no_answers() {
    let fleet = Arc::new(Fleet::start(plan()).await);
    for sidecar in &fleet.sidecars {
        sidecar.link.update_faults(|faults| {
            faults.drop = 0.02;
            faults.duplicate = 0.1;
            faults.reorder = 0.1;
        });
    }
    let outcomes = send_many(&fleet, 60, 20).join_all().await;
    assert_none_wrong(&outcomes);
    let whole = outcomes
        .iter()
        .filter(|outcome| outcome.is_complete())
        .count();
    assert_eq!(whole, 60, "{outcomes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_reaches_its_own_caller_only() {
    let fleet = Arc::new(Fleet::start(plan()).await);
    let late = EngineFault::DelayedAnswer(Duration::from_millis(300));
    fleet.sidecars[0].upstream.engine().set_fault(late);
    let outcomes = send_many(&fleet, 40, 5).join_all().await;
    assert!(outcomes.iter().all(Outcome::is_complete), "{outcomes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_the_id_of_another_request_is_refused() {
    let fleet = Arc::new(Fleet::start(plan()).await);
    for sidecar in &fleet.sidecars {
        sidecar
            .upstream
            .engine()
            .set_fault(EngineFault::WrongRequestId);
    }
    let outcomes = send_many(&fleet, 10, 5).join_all().await;
    for outcome in &outcomes {
        assert_eq!(outcome.code(), Some(52), "{outcome:?}");
        assert!(!outcome.is_not_run(), "it ran: {outcome:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_cut_by_its_engine_is_a_visible_error() {
    let fleet = Arc::new(Fleet::start(plan()).await);
    for sidecar in &fleet.sidecars {
        sidecar
            .upstream
            .engine()
            .set_fault(EngineFault::CutAfterTokens(3));
    }
    let caller = fleet.caller(0, "lot-a");
    let body = ChatBody::new("drafter", "prefix", &nonce(), 50, true);
    assert_eq!(caller.chat(&body).await, Outcome::Truncated);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_ends_in_an_error_event_and_without_the_end_mark() {
    let fleet = Fleet::start(plan()).await;
    for sidecar in &fleet.sidecars {
        let engine = sidecar.upstream.engine();
        engine.set_fault(EngineFault::CutAfterTokens(2));
    }
    let body = ChatBody::new("drafter", "prefix", &nonce(), 9, true);
    let request = fleet
        .caller(0, "lot-a")
        .request(reqwest::Method::POST, "/v1/chat/completions");
    let response = request.json(&body).send().await.expect("an answer");
    let text = response.text().await.expect("a body");
    assert!(!text.contains("[DONE]"), "{text}");
    assert!(text.contains(r#""code":51,"ran":"unknown""#), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_killed_in_the_middle_of_answers_cuts_them_visibly() {
    let mut fleet = Fleet::start(plan()).await;
    let mut requests = JoinSet::new();
    for index in 0..REQUESTS_FOR_TWO_SIDECARS {
        let caller = fleet.caller(index % 2, "lot-a");
        requests.spawn(async move {
            let body = ChatBody::new("drafter", "prefix", &nonce(), 400, true);
            caller.chat(&body).await
        });
    }
    // A stream without any event yet would end in an error answer instead of a visible cut.
    wait_until("all that runs at either engine streams", || {
        fleet.sidecars.iter().all(|sidecar| {
            let runs = sidecar.upstream.log().runs();
            !runs.is_empty() && runs.iter().all(|run| run.tokens > 5)
        })
    })
    .await;
    fleet.sidecars[0].process.kill();
    let outcomes = requests.join_all().await;
    assert_none_wrong(&outcomes);
    let cut = outcomes
        .iter()
        .filter(|o| **o == Outcome::Truncated)
        .count();
    let whole = outcomes.iter().filter(|o| o.is_complete()).count();
    assert!(cut > 0, "{outcomes:?}");
    assert_eq!(cut + whole, REQUESTS_FOR_TWO_SIDECARS, "{outcomes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_killed_in_the_middle_of_answers_cuts_them_and_frees_the_slots() {
    let mut fleet = Fleet::start(plan()).await;
    let mut requests = JoinSet::new();
    for _ in 0..6 {
        let caller = fleet.caller(0, "lot-a");
        requests.spawn(async move {
            let body = ChatBody::new("drafter", "prefix", &nonce(), 2_000, true);
            caller.chat(&body).await
        });
    }
    wait_until("all six requests run", || fleet.running_count() == 6).await;
    wait_until("requests stream", || {
        fleet.sidecars.iter().any(|sidecar| {
            let runs = sidecar.upstream.log().runs();
            runs.iter().any(|run| run.tokens > 5)
        })
    })
    .await;
    fleet.routers[0].process.kill();
    let outcomes = requests.join_all().await;
    assert_none_wrong(&outcomes);
    assert!(!outcomes.iter().any(Outcome::is_complete), "{outcomes:?}");
    wait_until("the engines are free again", || fleet.running_count() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_frees_its_slot() {
    let fleet = Fleet::start(plan()).await;
    let caller = fleet.caller(0, "lot-a");
    let request = tokio::spawn(async move {
        let body = ChatBody::new("drafter", "prefix", &nonce(), 100_000, true);
        caller.chat(&body).await
    });
    wait_until("the request runs", || fleet.running_count() == 1).await;
    request.abort();
    wait_until("its slot is free", || fleet.running_count() == 0).await;
}
