//! Guarantee 3: a caller gets the complete answer to its own request, or a visible error. Every
//! token carries the mark of its request, and the caller checks each token.

use {
    archmast_testbed::{
        fleet::{Fleet, FleetPlan, FleetText, Outcome, StreamingNonces, nonce, wait_until},
        standin::{ChatBody, EngineFault, EngineSettings},
    },
    std::{sync::Arc, time::Duration},
    tokio::task::JoinSet,
};

/// More requests than one sidecar holds: 8 in the slots of its upstream, and at most 8 queued.
const REQUESTS_FOR_TWO_SIDECARS: usize = 20;

/// Tokens of a stream that runs for four seconds.
const STREAMED_TOKENS: u32 = 800;

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

/// What became of one request when a sidecar was killed.
struct KilledSidecarOutcome {
    outcome: Outcome,
    was_streaming: bool,            // its caller had received events before
    ran_at_killed: bool,            // it reached the upstream of the killed sidecar
    was_complete_at_upstream: bool, // that upstream had answered it completely
    run_count: usize,               // at all upstreams
}

/// Sends more streamed requests than one sidecar holds, and kills one as soon as the callers of
/// all requests that run receive events. Routers may retry this fraction of the requests.
async fn kill_sidecar_under_streams(retry_fraction: &str) -> Vec<KilledSidecarOutcome> {
    let plan = plan().set_router("dispatch.retry_fraction", retry_fraction);
    let mut fleet = Fleet::start(plan).await;
    let streaming = StreamingNonces::default();
    let mut requests = JoinSet::new();
    for index in 0..REQUESTS_FOR_TWO_SIDECARS {
        let caller = fleet
            .caller(index % 2, "lot-a")
            .record_streaming(&streaming);
        requests.spawn(async move {
            let body = ChatBody::new("drafter", "prefix", &nonce(), STREAMED_TOKENS, true);
            (body.nonce().to_owned(), caller.chat(&body).await)
        });
    }
    // Events that an upstream has sent show nothing of what the router has received.
    wait_until(
        "all slots are taken by requests whose callers receive events",
        || {
            let received = streaming.current();
            fleet.sidecars.iter().all(|sidecar| {
                let mut runs = sidecar.upstream.log().runs();
                runs.retain(|run| !run.is_complete);
                runs.len() == EngineSettings::default().slots
                    && runs.iter().all(|run| received.contains(&run.nonce))
            })
        },
    )
    .await;
    let received = streaming.current();
    fleet.sidecars[0].process.kill();
    let outcomes = requests.join_all().await;
    let counts = fleet.runs_by_nonce();
    let runs = fleet.sidecars[0].upstream.log().runs();
    let outcomes = outcomes.into_iter().map(|(nonce, outcome)| {
        let run = runs.iter().find(|run| run.nonce == nonce);
        KilledSidecarOutcome {
            outcome,
            was_streaming: received.contains(&nonce),
            ran_at_killed: run.is_some(),
            was_complete_at_upstream: run.is_some_and(|run| run.is_complete),
            run_count: counts.get(&nonce).copied().unwrap_or(0),
        }
    });
    outcomes.collect()
}

/// Asserts that each stream that the killed sidecar relayed is cut visibly, and each that the
/// other one relayed is whole. Returns the outcomes of the requests that did not stream yet.
fn assert_streams_cut(requests: Vec<KilledSidecarOutcome>) -> Vec<KilledSidecarOutcome> {
    let (streamed, others): (Vec<_>, Vec<_>) = requests
        .into_iter()
        .partition(|request| request.was_streaming);
    let mut cut = 0;
    for request in streamed {
        let outcome = request.outcome;
        if request.ran_at_killed && !request.was_complete_at_upstream {
            assert_eq!(outcome, Outcome::Truncated);
            cut += 1;
        } else {
            // Its end may have been on its way in the killed sidecar.
            let is_cut_at_its_end = request.ran_at_killed && outcome == Outcome::Truncated;
            assert!(outcome.is_complete() || is_cut_at_its_end, "{outcome:?}");
        }
    }
    assert!(cut > 0, "no stream was cut");
    others
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_killed_in_the_middle_of_answers_cuts_them_visibly() {
    let requests = kill_sidecar_under_streams("1").await;
    assert_eq!(requests.len(), REQUESTS_FOR_TWO_SIDECARS);
    for request in assert_streams_cut(requests) {
        // It can be repeated, unless its stream began just before the sidecar was killed.
        let is_cut = request.ran_at_killed && request.outcome == Outcome::Truncated;
        assert!(
            request.outcome.is_complete() || is_cut,
            "{:?}",
            request.outcome
        );
    }
}

/// A sidecar also holds requests that wait for a slot. Without a retry their routers cannot know
/// that they did not run.
#[tokio::test(flavor = "multi_thread")]
async fn what_a_killed_sidecar_held_without_an_answer_is_unknown_without_a_retry() {
    let requests = kill_sidecar_under_streams("0").await;
    let mut unknown = 0;
    for request in assert_streams_cut(requests) {
        match &request.outcome {
            Outcome::Refused {
                status: 502,
                code: 50,
                ran,
                ..
            } if ran == "unknown" => {
                unknown += 1;
                assert!(request.run_count <= 1, "{:?}", request.outcome);
            }
            outcome => {
                let is_cut = request.ran_at_killed && *outcome == Outcome::Truncated;
                assert!(outcome.is_complete() || is_cut, "{outcome:?}");
            }
        }
    }
    assert!(
        unknown > 0,
        "the killed sidecar held no request that waited"
    );
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
