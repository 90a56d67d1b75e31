//! A router respects what replicas announce in their answers: that they are leaving, or that
//! they want no requests for a time.

use {
    archmast::ops::Uptime,
    archmast_testbed::{
        direct::{
            Client, ClientAnswer, ClientRequest, CrashTiming, DirectFleet, Replica, ReplicaAnswer,
            RouteText, StoreMode,
        },
        fleet::{wait_until, wait_until_async},
    },
    std::time::Duration,
};

const LEAVING_HEADER: &[(&str, &str)] = &[("Server-Leaving", "1")];

/// Requests that show where a router sends: two equal replicas both receive some of them.
const REQUESTS: usize = 40;

/// A router with two replicas of one service; the tests observe the first.
async fn fleet() -> (DirectFleet, [Replica; 2]) {
    let routes = [
        RouteText::new("/first/", "s", "idempotent"),
        RouteText::new("/once/", "s", "non_idempotent"),
    ];
    DirectFleet::with_two_replicas(ReplicaAnswer::ok("whole"), &routes).await
}

async fn ask(
    fleet: &DirectFleet,
    path: &str,
) -> ClientAnswer {
    Client::call_once(
        fleet.caller_addresses[0],
        &ClientRequest::get(path, "asked"),
    )
    .await
}

async fn ask_often(fleet: &DirectFleet) -> Vec<ClientAnswer> {
    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        let path = if number % 2 == 0 { "/first/" } else { "/once/" };
        answers.push(ask(fleet, path).await);
    }
    answers
}

async fn until_asked(
    fleet: &DirectFleet,
    replica: &Replica,
    more_than: usize,
) {
    wait_until_async("the replica is asked", async || {
        ask(fleet, "/first/").await;
        replica.received().len() > more_than
    })
    .await;
}

/// Guards against routers that learn only from the store that a replica leaves, and ignore the
/// header of its answers: while the store is silent they would keep sending there (31 requests
/// in 5 s).
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_announces_leaving_gets_no_more_requests() {
    let (fleet, [leaves, stays]) = fleet().await;
    fleet.store_ports[0].set_mode(StoreMode::Silent);
    leaves.set_headers(LEAVING_HEADER);
    until_asked(&fleet, &leaves, 0).await;
    let before = leaves.received().len();
    let answers = ask_often(&fleet).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
    assert_eq!(leaves.received().len(), before);
    stays.set_headers(LEAVING_HEADER);
    until_asked(&fleet, &stays, stays.received().len()).await;
    let before = stays.received().len();
    // No replica is left: requests are refused at once, and do not run.
    for answer in ask_often(&fleet).await {
        assert_eq!((answer.status, answer.code()), (503, Some(65)));
        assert!(answer.retry_after().is_some());
    }
    assert_eq!(
        (leaves.received().len(), stays.received().len()),
        (1, before)
    );
}

/// Removes the entry of a replica and writes it again unchanged.
async fn remove_and_restore_entry(
    fleet: &DirectFleet,
    replica: &Replica,
) {
    let log = || fleet.routers[0].log_text();
    fleet.store.remove_replica(&replica.id);
    wait_until("the entry is gone", || log().contains("upstream gone")).await;
    let listed = log().matches("upstream Ready").count();
    fleet
        .store
        .list_replica(&replica.id, "s", replica.address, "ready");
    wait_until("the entry is back", || {
        log().matches("upstream Ready").count() > listed
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_replica_stays_unused_when_its_entry_lapses_and_returns() {
    let (fleet, [leaves, _stays]) = fleet().await;
    leaves.set_headers(LEAVING_HEADER);
    until_asked(&fleet, &leaves, 0).await;
    let before = leaves.received().len();
    remove_and_restore_entry(&fleet, &leaves).await;
    ask_often(&fleet).await;
    assert_eq!(leaves.received().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_restarts_under_its_id_after_leaving_is_used() {
    let (fleet, [leaves, _stays]) = fleet().await;
    leaves.set_headers(LEAVING_HEADER);
    until_asked(&fleet, &leaves, 0).await;
    let before = leaves.received().len();
    ask_often(&fleet).await;
    assert_eq!(leaves.received().len(), before);
    leaves.set_headers(&[]);
    let started_ms = Uptime::unix_millis() + 2_000;
    fleet
        .store
        .list_replica_start("z", "i-a", started_ms, "s", leaves.address);
    until_asked(&fleet, &leaves, before).await;
}

/// Guards against a router that relays `Retry-After` to the caller of the refused request, but
/// sends to the replica again long before that time: with a fixed backoff of 60 ms, one replica
/// refused twenty requests of one router within the three seconds that it had asked for.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_asks_for_a_backoff_gets_it_and_is_used_again() {
    const BACKOFF: Duration = Duration::from_secs(3);
    let (fleet, [refusing, _idle]) = fleet().await;
    refusing.set_backoff(Some(3.0));
    until_asked(&fleet, &refusing, 0).await;
    until_asked(&fleet, &refusing, 1).await;
    let arrived: Vec<_> = refusing
        .received()
        .iter()
        .map(|seen| seen.arrived)
        .collect();
    let gap = arrived[1].duration_since(arrived[0]);
    assert!(gap >= BACKOFF, "{gap:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn when_all_replicas_ask_for_a_backoff_they_get_it_and_callers_get_a_retry_time() {
    let (fleet, replicas) = fleet().await;
    for replica in &replicas {
        replica.set_backoff(Some(30.5));
    }
    for replica in &replicas {
        until_asked(&fleet, replica, 0).await;
    }
    let seen = || replicas.each_ref().map(|replica| replica.received().len());
    let before = seen();
    for answer in ask_often(&fleet).await {
        assert_eq!((answer.status, answer.code()), (503, Some(47)));
        assert!(answer.retry_after() > Some(Duration::from_secs(1)));
    }
    assert_eq!(seen(), before);
    remove_and_restore_entry(&fleet, &replicas[0]).await;
    ask_often(&fleet).await;
    assert_eq!(seen(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_refuses_the_cache_query_gets_its_backoff_too() {
    let fleet = DirectFleet::start(1, "").await;
    let ip = fleet.standins();
    let refusing = Replica::start(ip, "i-a", ReplicaAnswer::events(3)).await;
    let idle = Replica::start(ip, "i-b", ReplicaAnswer::events(3)).await;
    refusing.refuse_cache_requests();
    refusing.set_headers(&[("Retry-After", "30")]);
    fleet
        .store
        .publish_engines(1, &[RouteText::new("/events/", "s", "streaming")]);
    for replica in [&refusing, &idle] {
        fleet
            .store
            .list_replica(&replica.id, "s", replica.address, "ready");
    }
    fleet.wait_until_ready().await;
    wait_until("both were asked for their cached parts", || {
        let log = fleet.routers[0].log_text();
        log.contains("replica asked what it keeps") && log.contains("did not say what it keeps")
    })
    .await;
    for number in 0..REQUESTS {
        let request = ClientRequest::post("/events/", &format!("asked-{number}"), "{}")
            .header("Archmast-Prefix-Hash", &format!("a{number}:3000"))
            .header("Archmast-Token-Count", "3000,5");
        assert_eq!(
            Client::call_once(fleet.caller_addresses[0], &request)
                .await
                .status,
            200
        );
    }
    assert_eq!(refusing.received().len(), 0);
}

/// The exit of a leaving replica is no evidence against the requests that run there. Guards
/// against a router that knows of leaving only from the store: it would hold such requests back
/// (code 44) although each replica has announced its exit.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_a_replica_that_said_that_it_leaves_speaks_against_no_request() {
    const TRIES: usize = 3;
    let fleet = DirectFleet::start(1, "").await;
    let mut replicas = Vec::new();
    for number in 0..TRIES {
        let replica = fleet
            .start_replica(&format!("i-{number}"), "s", ReplicaAnswer::ok("whole"))
            .await;
        replica.set_headers(LEAVING_HEADER);
        replica.crash_on_with("unlucky", CrashTiming::AfterHead);
        replicas.push(replica);
    }
    let route = RouteText::new("/once/", "s", "non_idempotent");
    fleet.store.publish(1, &[route]);
    fleet.wait_until_ready().await;
    wait_until("all replicas are known", || {
        fleet.routers[0]
            .log_text()
            .matches("upstream Ready")
            .count()
            >= TRIES
    })
    .await;
    for tries in 1..=TRIES {
        let request = ClientRequest::post("/once/", &format!("try-{tries}"), "unlucky");
        let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
        assert_eq!(answer.code(), Some(69), "try {tries}");
        wait_until("the exit of its replica is noticed", || {
            let log = fleet.routers[0].log_text();
            log.matches("a replica has ended whose runs were left")
                .count()
                == tries
        })
        .await;
    }
}

/// Routers of a zone send each other the announcements of replicas. Otherwise a router that
/// forwards a connection to a neighbour, and relays an answer that announces leaving without
/// reading it, later sends to that replica itself.
#[tokio::test(flavor = "multi_thread")]
async fn fellows_hear_that_a_replica_leaves() {
    let fleet = DirectFleet::start(2, "").await;
    let leaves = fleet
        .start_replica("i-a", "s", ReplicaAnswer::ok("whole"))
        .await;
    let _stays = fleet
        .start_replica("i-b", "s", ReplicaAnswer::ok("whole"))
        .await;
    let routes = [
        RouteText::new("/first/", "s", "idempotent"),
        RouteText::new("/once/", "s", "non_idempotent"),
    ];
    fleet.store.publish(1, &routes);
    fleet.wait_until_ready().await;
    for router in &fleet.routers {
        wait_until("both replicas are known", || {
            router.log_text().matches("upstream Ready").count() >= 2
        })
        .await;
    }
    leaves.set_headers(LEAVING_HEADER);
    wait_until_async("the other router gets the announcement", async || {
        Client::call_once(
            fleet.caller_addresses[1],
            &ClientRequest::get("/first/", "asked"),
        )
        .await;
        !leaves.received().is_empty()
    })
    .await;
    wait_until("the first router gets it from its peer", || {
        fleet.routers[0]
            .log_text()
            .contains("a fellow heard that a replica leaves")
    })
    .await;
    let before = leaves.received().len();
    ask_often(&fleet).await;
    assert_eq!(leaves.received().len(), before);
}

/// Guards against relaying the `Retry-After` of one replica to the caller as if it held for the
/// whole service: another replica is idle, so the caller may come back earlier.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_need_not_wait_for_the_backoff_of_one_replica() {
    let single = RouteText {
        attempts: 1,
        ..RouteText::new("/single/", "s", "idempotent")
    };
    let (fleet, [refusing, _idle]) =
        DirectFleet::with_two_replicas(ReplicaAnswer::ok("whole"), &[single]).await;
    refusing.set_backoff(Some(3.0));
    let mut refused = None;
    wait_until_async("a request is refused", async || {
        let answer = ask(&fleet, "/single/").await;
        refused = (answer.status == 503).then_some(answer);
        refused.is_some()
    })
    .await;
    let answer = refused.expect("a refusal");
    assert_eq!(answer.code(), Some(68));
    assert!(
        answer.retry_after() < Some(Duration::from_secs(1)),
        "{answer:?}"
    );
}

/// Guards against a `Retry-After` that is no time, such as `inf`, taking a replica out of use
/// for ten minutes.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_whose_retry_after_is_no_time_asks_for_no_rest() {
    for invalid_time in [f64::INFINITY, f64::NAN, -30.0] {
        let (fleet, [refuses, _idle]) = fleet().await;
        refuses.set_backoff(Some(invalid_time));
        until_asked(&fleet, &refuses, 2).await;
        refuses.set_backoff(None);
        let refused = refuses.received().len();
        until_asked(&fleet, &refuses, refused).await;
        assert!(
            !fleet.routers[0]
                .log_text()
                .contains("replica said of itself")
        );
    }
}
