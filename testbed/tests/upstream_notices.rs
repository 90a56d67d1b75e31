//! A sidecar respects what its upstream announces in its answers: that it is leaving, or that it
//! wants no requests for a time.

use {
    archmast_testbed::{
        fleet::{Fleet, FleetPlan, FleetText, Outcome, nonce, wait_until, wait_until_async},
        standin::PlainService,
    },
    reqwest::Method,
    std::time::{Duration, Instant},
};

/// Number of calls that show where requests go.
const CALLS: usize = 40;

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

/// Times at which calls reached an upstream.
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

/// Guards against a sidecar that relays the header `Server-Leaving` to the caller, but itself
/// learns only from the list of hosts that its upstream leaves: 20 of the next 40 requests
/// then went to one of two equal upstreams although it was leaving.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_announces_leaving_gets_no_requests_until_it_starts_again() {
    let mut fleet = fleet(2).await;
    until_called(&fleet, 0, 0).await;
    upstream(&fleet, 0).set_headers(&[("Server-Leaving", "1")]);
    until_called(&fleet, 0, arrivals(&fleet, 0).len()).await;
    let before = arrivals(&fleet, 0).len();
    for _ in 0..CALLS {
        assert!(matches!(call(&fleet).await, Outcome::Complete { .. }));
    }
    assert_eq!(arrivals(&fleet, 0).len(), before);
    fleet.sidecars[0].upstream_link.stop().await;
    wait_until("the exit of the upstream is noticed", || {
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

/// Guards against a sidecar that relays `Retry-After` to the caller, but sends the next request
/// at once (after 5 ms) to an upstream that asked for a backoff of three seconds.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_asks_for_a_backoff_gets_it_and_is_used_again() {
    const BACKOFF: Duration = Duration::from_secs(3);
    let fleet = fleet(1).await;
    until_called(&fleet, 0, 0).await;
    upstream(&fleet, 0).set_headers(&[("Retry-After", "3")]);
    upstream(&fleet, 0).set_refusing(true);
    until_called(&fleet, 0, arrivals(&fleet, 0).len()).await;
    until_called(&fleet, 0, arrivals(&fleet, 0).len()).await;
    let arrived = arrivals(&fleet, 0);
    let [.., first, second] = arrived[..] else {
        panic!("fewer than two calls reached the upstream");
    };
    let gap = second.duration_since(first);
    assert!(gap >= BACKOFF, "{gap:?}");
    upstream(&fleet, 0).set_refusing(false);
    until_called(&fleet, 0, arrived.len()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_other_upstream_serves_during_a_backoff() {
    let fleet = fleet(2).await;
    until_called(&fleet, 0, 0).await;
    upstream(&fleet, 0).set_headers(&[("Retry-After", "300")]);
    upstream(&fleet, 0).set_refusing(true);
    until_called(&fleet, 0, arrivals(&fleet, 0).len()).await;
    let before = arrivals(&fleet, 0).len();
    for _ in 0..CALLS {
        assert!(matches!(call(&fleet).await, Outcome::Complete { .. }));
    }
    assert_eq!(arrivals(&fleet, 0).len(), before);
}
