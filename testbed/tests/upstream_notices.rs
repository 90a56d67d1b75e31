//! What an upstream says of itself in its answers binds the sidecar beside it, through
//! which all of its work comes.

use {
    archmast_testbed::{
        fleet::{Fleet, FleetPlan, FleetText, Outcome, nonce, wait_until, wait_until_async},
        standin::PlainService,
    },
    reqwest::Method,
    std::time::{Duration, Instant},
};

/// Calls that show where requests go.
const ASKED: usize = 40;

async fn fleet(upstreams: usize) -> Fleet {
    let text = FleetText::default()
        .class("quick", "3 s")
        .plain("gates", "/gate")
        .account("lot", 1.0, "quick", "");
    let plan = FleetPlan::new(text)
        .routers(1)
        .plains(upstreams, 2, Duration::from_millis(2));
    Fleet::start(plan).await
}

fn upstream(
    fleet: &Fleet,
    number: usize,
) -> &PlainService {
    fleet.sidecars[number].upstream.plain()
}

/// When calls came to an upstream.
fn arrivals(
    fleet: &Fleet,
    number: usize,
) -> Vec<Instant> {
    let runs = upstream(fleet, number).log.runs();
    runs.iter().map(|run| run.started).collect()
}

async fn call(fleet: &Fleet) -> Outcome {
    let caller = fleet.caller(0, "lot");
    caller
        .plain(Method::POST, "/gate/confirm", &nonce(), None)
        .await
}

async fn until_called(
    fleet: &Fleet,
    number: usize,
    more_than: usize,
) {
    wait_until_async("the upstream is called", async || {
        call(fleet).await;
        arrivals(fleet, number).len() > more_than
    })
    .await;
}

/// After an upstream had said in an answer that it leaves, 20 of the next 40 requests went
/// there, as before: half of them, with two upstreams alike. Its sidecar passed the header on
/// to the caller, and knew of leaving by the list of hosts alone.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_says_that_it_leaves_gets_nothing_more_until_it_starts_again() {
    let mut fleet = fleet(2).await;
    until_called(&fleet, 0, 0).await;
    upstream(&fleet, 0).set_headers(&[("Server-Leaving", "1")]);
    until_called(&fleet, 0, arrivals(&fleet, 0).len()).await;
    let before = arrivals(&fleet, 0).len();
    for _ in 0..ASKED {
        assert!(matches!(call(&fleet).await, Outcome::Complete { .. }));
    }
    assert_eq!(arrivals(&fleet, 0).len(), before);
    fleet.sidecars[0].upstream_link.stop().await;
    wait_until("its end is noticed", || {
        let log = fleet.sidecars[0].process.log_text();
        log.contains("the upstream that left has ended")
    })
    .await;
    upstream(&fleet, 0).set_headers(&[]);
    fleet.sidecars[0]
        .upstream_link
        .restart()
        .await
        .expect("its port is free");
    until_called(&fleet, 0, before).await;
}

/// An upstream turned a request away and asked for three seconds of rest; the next request
/// came 5 ms later. Its sidecar passed the time on to the caller and kept nothing of it.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_asks_for_rest_gets_it_and_is_used_again() {
    const REST: Duration = Duration::from_secs(3);
    let fleet = fleet(1).await;
    until_called(&fleet, 0, 0).await;
    upstream(&fleet, 0).set_headers(&[("Retry-After", "3")]);
    upstream(&fleet, 0).set_refusing(true);
    until_called(&fleet, 0, arrivals(&fleet, 0).len()).await;
    until_called(&fleet, 0, arrivals(&fleet, 0).len()).await;
    let arrived = arrivals(&fleet, 0);
    let [.., first, second] = arrived[..] else {
        panic!("two calls came");
    };
    let gap = second.duration_since(first);
    assert!(gap >= REST, "{gap:?}");
    upstream(&fleet, 0).set_refusing(false);
    until_called(&fleet, 0, arrived.len()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn while_an_upstream_rests_the_other_serves() {
    let fleet = fleet(2).await;
    until_called(&fleet, 0, 0).await;
    upstream(&fleet, 0).set_headers(&[("Retry-After", "300")]);
    upstream(&fleet, 0).set_refusing(true);
    until_called(&fleet, 0, arrivals(&fleet, 0).len()).await;
    let before = arrivals(&fleet, 0).len();
    for _ in 0..ASKED {
        assert!(matches!(call(&fleet).await, Outcome::Complete { .. }));
    }
    assert_eq!(arrivals(&fleet, 0).len(), before);
}
