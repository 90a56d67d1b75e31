//! Guards against a request that crashes replica after replica. The caller repeats it under a
//! new id each time, so that no router sees a retry; routers have to recognize the request by
//! its content, share the evidence with all other routers, and hold it back. Within about
//! 100 ms of its start the replica loses all its answers and refuses connections.

use {
    archmast_testbed::{
        direct::{
            Client, ClientAnswer, ClientRequest, CrashTiming, DirectFleet, Replica, ReplicaAnswer,
            RouteText,
        },
        fleet::wait_until_async,
    },
    std::time::Duration,
};

/// Replicas at the start.
const REPLICAS: usize = 12;

/// Crashes after which a router holds the request back without evidence of others.
const CRASHES_UNTIL_KNOWN: usize = 2;

/// Result code of a request that is held back.
const HELD_BACK: u64 = 44;

/// Body of the request that crashes each replica that begins to run it.
const FATAL_PROMPT: &str = "a prompt that no engine survives";

/// A fleet with so many routers in each zone, and replicas that crash on the fatal request.
async fn fleet(zones: &[usize]) -> (DirectFleet, Vec<Replica>) {
    let fleet = DirectFleet::start_in_zones(zones, "").await;
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let id = format!("i-{number}");
        let replica = fleet
            .start_replica(&id, "s", ReplicaAnswer::ok("served"))
            .await;
        replica.crash_on(FATAL_PROMPT);
        replicas.push(replica);
    }
    let once = RouteText {
        attempts: 1,
        ..RouteText::new("/once/", "s", "idempotent")
    };
    let read = RouteText::new("/read/", "s", "idempotent");
    fleet.store.publish(1, &[once, read]);
    fleet.wait_until_ready().await;
    for router in &fleet.routers {
        wait_until_async("all replicas are known", async || {
            router.log_text().matches("upstream Ready").count() >= REPLICAS
        })
        .await;
    }
    (fleet, replicas)
}

async fn post(
    fleet: &DirectFleet,
    router: usize,
    body: &str,
) -> ClientAnswer {
    let id = format!("{:016x}", rand::random::<u64>());
    let request = ClientRequest::post("/once/", &id, body);
    Client::call_once(fleet.caller_addresses[router], &request).await
}

fn crashed(replicas: &[Replica]) -> usize {
    replicas
        .iter()
        .filter(|replica| replica.has_exited())
        .count()
}

/// Number of requests with this body that reached replicas.
fn arrivals(
    replicas: &[Replica],
    body: &str,
) -> usize {
    let seen = replicas.iter().flat_map(Replica::received);
    seen.filter(|request| request.text() == body).count()
}

/// Log lines of the routers on requests that crashed replicas.
fn suspect_log_lines(fleet: &DirectFleet) -> String {
    let texts = fleet.routers.iter().map(|router| router.log_text());
    let lines: Vec<String> = texts
        .flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>())
        .filter(|line| {
            let has_crashed = line.contains("\"replica_ended\":\"true\"");
            has_crashed || line.contains("request held back") || line.contains("no longer counted")
        })
        .collect();
    lines.join("\n")
}

/// Sends the fatal request to the routers in turn until all hold it back.
async fn until_held_back(
    fleet: &DirectFleet,
    replicas: &[Replica],
) {
    loop {
        let mut holding = 0;
        for router in 0..fleet.routers.len() {
            let answer = post(fleet, router, FATAL_PROMPT).await;
            holding += usize::from(answer.code() == Some(HELD_BACK));
        }
        let crashed = crashed(replicas);
        let max_crashes = CRASHES_UNTIL_KNOWN * fleet.routers.len();
        assert!(
            crashed <= max_crashes,
            "{crashed} replicas crashed under one request"
        );
        if holding == fleet.routers.len() {
            return remove_crashed(fleet, replicas).await;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Removes the entries of crashed replicas, as the platform does after a while.
async fn remove_crashed(
    fleet: &DirectFleet,
    replicas: &[Replica],
) {
    let gone: Vec<&Replica> = replicas.iter().filter(|it| it.has_exited()).collect();
    for replica in &gone {
        fleet.store.remove_replica(&replica.id);
    }
    for router in &fleet.routers {
        wait_until_async("the entries of crashed replicas are gone", async || {
            router.log_text().matches("upstream gone").count() >= gone.len()
        })
        .await;
    }
}

/// Checks that the fatal request reaches no replica any more, and that others are served.
async fn assert_only_it_is_held_back(
    fleet: &DirectFleet,
    replicas: &[Replica],
) {
    let before = arrivals(replicas, FATAL_PROMPT);
    for round in 0..10 {
        for router in 0..fleet.routers.len() {
            let answer = post(fleet, router, FATAL_PROMPT).await;
            assert_eq!((answer.status, answer.code()), (503, Some(HELD_BACK)));
            let other = post(fleet, router, &format!("another prompt {round}")).await;
            assert_eq!(other.status, 200);
        }
    }
    assert_eq!(arrivals(replicas, FATAL_PROMPT), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_replicas_is_held_back_by_all_routers() {
    let (fleet, replicas) = fleet(&[3]).await;
    until_held_back(&fleet, &replicas).await;
    assert_only_it_is_held_back(&fleet, &replicas).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_replicas_is_held_back_in_other_zones() {
    let (fleet, replicas) = fleet(&[2, 2]).await;
    until_held_back(&fleet, &replicas).await;
    assert_only_it_is_held_back(&fleet, &replicas).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_router_gets_the_held_back_requests_from_peers() {
    let (mut fleet, replicas) = fleet(&[3]).await;
    until_held_back(&fleet, &replicas).await;
    fleet.routers[2].kill();
    let earlier = fleet.routers[2].log_text().len();
    fleet.routers[2].restart().expect("it starts again");
    fleet.wait_until_ready().await;
    wait_until_async("the restarted router received the evidence", async || {
        fleet.routers[2].log_text()[earlier..].contains("request held back")
    })
    .await;
    assert_only_it_is_held_back(&fleet, &replicas).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_not_held_back_when_running_replicas_close_its_connections() {
    let (fleet, replicas) = fleet(&[2]).await;
    for replica in &replicas {
        replica.set_default_answer(ReplicaAnswer::Close);
    }
    for round in 0..20 {
        let answer = post(&fleet, round % 2, "the same prompt").await;
        assert_eq!((answer.status, answer.code()), (502, Some(50)));
    }
    for replica in &replicas {
        replica.set_default_answer(ReplicaAnswer::ok("served"));
    }
    for router in 0..2 {
        assert_eq!(post(&fleet, router, "the same prompt").await.status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_harmless_request_that_is_everywhere_is_served_beside_it() {
    let (fleet, replicas) = fleet(&[3]).await;
    for replica in &replicas {
        let after = Duration::from_millis(30);
        let body = "served".to_owned();
        replica.set_default_answer(ReplicaAnswer::Slow { body, after });
    }
    // A first answer, before any crash: without one nothing shows that the request is
    // harmless, and it is held back when replicas crash while they run it as well.
    for router in 0..3 {
        assert_eq!(post(&fleet, router, "the same prompt").await.status, 200);
    }
    let harmless = async |router: usize| {
        let mut answers = Vec::new();
        for _ in 0..40 {
            answers.push(post(&fleet, router, "the same prompt").await);
        }
        answers
    };
    let (first, second, third, ()) = tokio::join!(
        harmless(0),
        harmless(1),
        harmless(2),
        until_held_back(&fleet, &replicas)
    );
    let answers: Vec<ClientAnswer> = [first, second, third].concat();
    let held = answers.iter().filter(|it| it.code() == Some(HELD_BACK));
    assert_eq!(held.count(), 0, "{}", suspect_log_lines(&fleet));
    for router in 0..3 {
        assert_eq!(post(&fleet, router, "the same prompt").await.status, 200);
    }
}

/// Routers of two zones, and replicas that crash at this point of the fatal request.
async fn crashing_fleet(manner: CrashTiming) -> (DirectFleet, Vec<Replica>) {
    let (fleet, replicas) = fleet(&[2, 1]).await;
    for replica in &replicas {
        replica.crash_on_with(FATAL_PROMPT, manner);
    }
    (fleet, replicas)
}

/// Waits until routers have noticed the crash of so many replicas.
async fn until_crashes_are_noticed(
    fleet: &DirectFleet,
    replicas: &[Replica],
    tries: usize,
) {
    wait_until_async("the crash of the replica is noticed", async || {
        let logs = fleet.routers.iter().map(|router| router.log_text());
        let noticed = logs.map(|log| log.matches("whose runs were left").count());
        crashed(replicas) == tries && noticed.sum::<usize>() >= tries
    })
    .await;
}

/// Guards against ignoring attempts that the router ended itself: 97 requests were sent then.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_end_after_a_head_without_proof_count_as_others() {
    let (fleet, replicas) = crashing_fleet(CrashTiming::AfterHead).await;
    for tries in 1..=CRASHES_UNTIL_KNOWN {
        let answer = post(&fleet, tries % 3, FATAL_PROMPT).await;
        assert_eq!((answer.status, answer.code()), (502, Some(69)));
        until_crashes_are_noticed(&fleet, &replicas, tries).await;
    }
    until_held_back(&fleet, &replicas).await;
    assert_only_it_is_held_back(&fleet, &replicas).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_end_when_the_caller_has_left_count_as_others() {
    let (fleet, replicas) = crashing_fleet(CrashTiming::Delayed).await;
    for tries in 1..=CRASHES_UNTIL_KNOWN {
        let id = format!("{:016x}", rand::random::<u64>());
        let request = ClientRequest::post("/once/", &id, FATAL_PROMPT);
        let mut caller = Client::connect(fleet.caller_addresses[tries % 3])
            .await
            .expect("a connection");
        caller.send(&request.bytes()).await.expect("sent");
        wait_until_async("the request is at a replica", async || {
            arrivals(&replicas, FATAL_PROMPT) == tries
        })
        .await;
        drop(caller);
        until_crashes_are_noticed(&fleet, &replicas, tries).await;
    }
    until_held_back(&fleet, &replicas).await;
    assert_only_it_is_held_back(&fleet, &replicas).await;
}

/// A caller that disconnects is no evidence against its request while the replica lives.
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_callers_disconnect_are_not_held_back_while_replicas_live() {
    let (fleet, replicas) = crashing_fleet(CrashTiming::Delayed).await;
    for replica in &replicas {
        replica.push_answer(ReplicaAnswer::Silent);
    }
    for tries in 1..=REPLICAS {
        let request = ClientRequest::post("/once/", &format!("left-{tries}"), "a prompt");
        let mut caller = Client::connect(fleet.caller_addresses[tries % 3])
            .await
            .expect("a connection");
        caller.send(&request.bytes()).await.expect("sent");
        wait_until_async("the request is at a replica", async || {
            arrivals(&replicas, "a prompt") == tries
        })
        .await;
    }
    for router in 0..3 {
        wait_until_async("the request is served", async || {
            post(&fleet, router, "a prompt").await.status == 200
        })
        .await;
    }
    assert!(
        suspect_log_lines(&fleet).is_empty(),
        "{}",
        suspect_log_lines(&fleet)
    );
}
