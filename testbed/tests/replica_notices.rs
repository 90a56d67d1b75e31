//! What replicas say of themselves in their answers binds the router that was told.

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

const LEAVES: &[(&str, &str)] = &[("Server-Leaving", "1")];

/// Requests that show where a router sends: with two replicas alike, it sends each a share.
const ASKED: usize = 40;

/// A router before two replicas of one service, the first of which is looked at.
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
    for number in 0..ASKED {
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

/// Routers went on sending to a replica whose answers said that it leaves, while the store
/// was silent: 31 requests in 5 s, two of them 2114 and 2783 ms after the first such answer,
/// each by `"upstream_from":"store","upstream_lapsed":"false"`. The header was not read: they
/// went by the list's word alone, which stands still with the store. Since it is read the
/// router's log has `replica said of itself` with the first answer, and no `sent` after it.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_says_that_it_leaves_gets_nothing_more() {
    let (fleet, [leaves, stays]) = fleet().await;
    fleet.store_ports[0].set_mode(StoreMode::Silent);
    leaves.set_headers(LEAVES);
    until_asked(&fleet, &leaves, 0).await;
    let before = leaves.received().len();
    let answers = ask_often(&fleet).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
    assert_eq!(leaves.received().len(), before);
    stays.set_headers(LEAVES);
    until_asked(&fleet, &stays, stays.received().len()).await;
    let before = stays.received().len();
    // Nobody is left: refused at once, and truly not run.
    for answer in ask_often(&fleet).await {
        assert_eq!((answer.status, answer.code()), (503, Some(65)));
        assert!(answer.retry_after().is_some());
    }
    assert_eq!(
        (leaves.received().len(), stays.received().len()),
        (1, before)
    );
}

/// A replica's entry goes, and comes back as it was.
async fn entry_lapses_and_returns(
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
async fn a_replica_that_leaves_stays_left_when_its_entry_lapses_and_returns() {
    let (fleet, [leaves, _stays]) = fleet().await;
    leaves.set_headers(LEAVES);
    until_asked(&fleet, &leaves, 0).await;
    let before = leaves.received().len();
    entry_lapses_and_returns(&fleet, &leaves).await;
    ask_often(&fleet).await;
    assert_eq!(leaves.received().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_left_and_starts_again_under_its_id_is_used() {
    let (fleet, [leaves, _stays]) = fleet().await;
    leaves.set_headers(LEAVES);
    until_asked(&fleet, &leaves, 0).await;
    let before = leaves.received().len();
    ask_often(&fleet).await;
    assert_eq!(leaves.received().len(), before);
    leaves.set_headers(&[]);
    let born = Uptime::unix_millis() + 2_000;
    fleet
        .store
        .list_replica_start("z", "i-a", born, "s", leaves.address);
    until_asked(&fleet, &leaves, before).await;
}

/// Routers went on sending to replicas that had turned a request away and asked for three
/// seconds of rest: `attempt ended: Refused { status: 503, retry_after: Some(3s) }` came
/// twenty times in 3 s for one replica, from one router. The time was told to the caller of
/// that one request; the replica itself was left alone for 60 ms, sends were 72 ms apart, and
/// where more than half of the replicas were left alone none was.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_asks_for_rest_gets_it_and_is_used_again() {
    const REST: Duration = Duration::from_secs(3);
    let (fleet, [rests, _awake]) = fleet().await;
    rests.set_backoff(Some(3.0));
    until_asked(&fleet, &rests, 0).await;
    until_asked(&fleet, &rests, 1).await;
    let arrived: Vec<_> = rests.received().iter().map(|seen| seen.arrived).collect();
    let gap = arrived[1].duration_since(arrived[0]);
    assert!(gap >= REST, "{gap:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_all_ask_for_rest_get_it_and_callers_are_told_when_to_come() {
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
    entry_lapses_and_returns(&fleet, &replicas[0]).await;
    ask_often(&fleet).await;
    assert_eq!(seen(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_turns_the_question_for_its_prompts_away_rests_too() {
    let fleet = DirectFleet::start(1, "").await;
    let ip = fleet.standins();
    let rests = Replica::start(ip, "i-a", ReplicaAnswer::events(3)).await;
    let awake = Replica::start(ip, "i-b", ReplicaAnswer::events(3)).await;
    rests.refuse_cache_requests();
    rests.set_headers(&[("Retry-After", "30")]);
    fleet
        .store
        .publish_engines(1, &[RouteText::new("/events/", "s", "streaming")]);
    for replica in [&rests, &awake] {
        fleet
            .store
            .list_replica(&replica.id, "s", replica.address, "ready");
    }
    fleet.wait_until_ready().await;
    wait_until("both were asked", || {
        let log = fleet.routers[0].log_text();
        log.contains("replica asked what it keeps") && log.contains("did not say what it keeps")
    })
    .await;
    for number in 0..ASKED {
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
    assert_eq!(rests.received().len(), 0);
}

/// Requests that ran at replicas as these ended were held back (code 44) though each replica
/// had said in its answer that it leaves. The end of a replica that leaves speaks against no
/// request, but leaving was known by the list's word alone.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_a_replica_that_said_that_it_leaves_speaks_against_no_request() {
    const TRIES: usize = 3;
    let fleet = DirectFleet::start(1, "").await;
    let mut replicas = Vec::new();
    for number in 0..TRIES {
        let replica = fleet
            .start_replica(&format!("i-{number}"), "s", ReplicaAnswer::ok("whole"))
            .await;
        replica.set_headers(LEAVES);
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
        wait_until("its replica's end is noticed", || {
            let log = fleet.routers[0].log_text();
            log.matches("a replica has ended whose runs were left")
                .count()
                == tries
        })
        .await;
    }
}

/// A router had handed a caller's connection on to a neighbour, and so passed an answer on
/// by which a replica leaves; it sent there itself 3159 ms later. What its neighbour had
/// heard it did not know: its log had `replica said of itself` with that late answer only.
/// Routers of a zone now tell each other who says that it leaves.
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
    leaves.set_headers(LEAVES);
    wait_until_async("the other router is told", async || {
        Client::call_once(
            fleet.caller_addresses[1],
            &ClientRequest::get("/first/", "asked"),
        )
        .await;
        !leaves.received().is_empty()
    })
    .await;
    wait_until("the first hears of it", || {
        fleet.routers[0]
            .log_text()
            .contains("a fellow heard that a replica leaves")
    })
    .await;
    let before = leaves.received().len();
    ask_often(&fleet).await;
    assert_eq!(leaves.received().len(), before);
}

/// A caller whose request was turned away by a replica that wants three seconds of rest was
/// told to come back after three seconds, though another replica was idle. What one replica
/// asks of a router was passed on as if it were the service's word.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_need_not_wait_for_the_replica_that_rests() {
    let single = RouteText {
        attempts: 1,
        ..RouteText::new("/single/", "s", "idempotent")
    };
    let (fleet, [rests, _awake]) =
        DirectFleet::with_two_replicas(ReplicaAnswer::ok("whole"), &[single]).await;
    rests.set_backoff(Some(3.0));
    let mut refused = None;
    wait_until_async("a request is turned away", async || {
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

/// A replica that refused one request with `Retry-After: inf` got nothing for ten minutes.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_whose_retry_after_is_no_time_asks_for_no_rest() {
    for no_time in [f64::INFINITY, f64::NAN, -30.0] {
        let (fleet, [refuses, _awake]) = fleet().await;
        refuses.set_backoff(Some(no_time));
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
