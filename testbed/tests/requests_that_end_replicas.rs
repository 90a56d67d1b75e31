//! Ten and 21 replicas of one service ended, one after the other, each within a tenth of a
//! second after it had begun to run a request that had ended others before. Every try had an
//! id of its own and was sent to one replica only, so that no router repeated anything; but
//! what a router learnt from the end of a replica it kept about the replica, and nobody knew
//! the request again when it came back, at the same router or at another. The router's log
//! for one of these tries, 102 ms after its replica had begun it:
//!
//! ```text
//! "attempt ended: Unknown { code: AnswerCut, … }" code 51, sent 1, again false
//! ```
//!
//! Ten answers of that replica were lost at two routers within 4 ms of it, and connections
//! to it were refused from then on.

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

/// Replicas that there are at the start.
const REPLICAS: usize = 12;

/// Replicas after whose end a router that is told nothing by others knows the request.
const KNOWN_AFTER: usize = 2;

/// The number that a request gets which is held back.
const HELD_BACK: u64 = 44;

/// The body of a request that ends each replica that begins to run it.
const FATAL: &str = "a prompt that no engine survives";

/// Routers in these zones before replicas that end under a request, and routes.
async fn fleet(zones: &[usize]) -> (DirectFleet, Vec<Replica>) {
    let fleet = DirectFleet::start_in_zones(zones, "").await;
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let id = format!("i-{number}");
        let replica = fleet
            .start_replica(&id, "s", ReplicaAnswer::ok("served"))
            .await;
        replica.crash_on(FATAL);
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

fn ended(replicas: &[Replica]) -> usize {
    replicas
        .iter()
        .filter(|replica| replica.has_exited())
        .count()
}

/// Requests with this body that reached replicas.
fn arrivals(
    replicas: &[Replica],
    body: &str,
) -> usize {
    let seen = replicas.iter().flat_map(Replica::received);
    seen.filter(|request| request.text() == body).count()
}

/// What the routers wrote of requests that replicas ended under.
fn beliefs(fleet: &DirectFleet) -> String {
    let texts = fleet.routers.iter().map(|router| router.log_text());
    let lines: Vec<String> = texts
        .flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>())
        .filter(|line| {
            let ended = line.contains("\"replica_ended\":\"true\"");
            ended || line.contains("request held back") || line.contains("no longer counted")
        })
        .collect();
    lines.join("\n")
}

/// Sends the request to one router after the other until all hold it back.
async fn until_held_back(
    fleet: &DirectFleet,
    replicas: &[Replica],
) {
    loop {
        let mut holding = 0;
        for router in 0..fleet.routers.len() {
            let answer = post(fleet, router, FATAL).await;
            holding += usize::from(answer.code() == Some(HELD_BACK));
        }
        let ended = ended(replicas);
        let most = KNOWN_AFTER * fleet.routers.len();
        assert!(ended <= most, "{ended} replicas ended under one request");
        if holding == fleet.routers.len() {
            return forget_ended(fleet, replicas).await;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Takes the replicas that ended off the list, as the platform does after a while.
async fn forget_ended(
    fleet: &DirectFleet,
    replicas: &[Replica],
) {
    let gone: Vec<&Replica> = replicas.iter().filter(|it| it.has_exited()).collect();
    for replica in &gone {
        fleet.store.remove_replica(&replica.id);
    }
    for router in &fleet.routers {
        wait_until_async("the replicas that ended are off the list", async || {
            router.log_text().matches("upstream gone").count() >= gone.len()
        })
        .await;
    }
}

/// Nothing of it reaches a replica any more, and all else is served.
async fn is_held_back_alone(
    fleet: &DirectFleet,
    replicas: &[Replica],
) {
    let before = arrivals(replicas, FATAL);
    for round in 0..10 {
        for router in 0..fleet.routers.len() {
            let answer = post(fleet, router, FATAL).await;
            assert_eq!((answer.status, answer.code()), (503, Some(HELD_BACK)));
            let other = post(fleet, router, &format!("another prompt {round}")).await;
            assert_eq!(other.status, 200);
        }
    }
    assert_eq!(arrivals(replicas, FATAL), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_under_which_replicas_end_is_held_back_by_all_routers() {
    let (fleet, replicas) = fleet(&[3]).await;
    until_held_back(&fleet, &replicas).await;
    is_held_back_alone(&fleet, &replicas).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn other_zones_hold_it_back_too() {
    let (fleet, replicas) = fleet(&[2, 2]).await;
    until_held_back(&fleet, &replicas).await;
    is_held_back_alone(&fleet, &replicas).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_starts_anew_learns_what_is_held_back() {
    let (mut fleet, replicas) = fleet(&[3]).await;
    until_held_back(&fleet, &replicas).await;
    fleet.routers[2].kill();
    let earlier = fleet.routers[2].log_text().len();
    fleet.routers[2].restart().expect("it starts again");
    fleet.wait_until_ready().await;
    wait_until_async("it was told", async || {
        fleet.routers[2].log_text()[earlier..].contains("request held back")
    })
    .await;
    is_held_back_alone(&fleet, &replicas).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_connections_are_broken_off_by_living_replicas_is_never_held_back() {
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
    // Before any whole answer nothing speaks for it: three replicas ended within 9 ms, it
    // was at each of them, and it was held back until its first answer, 22 ms after.
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
    assert_eq!(held.count(), 0, "{}", beliefs(&fleet));
    for router in 0..3 {
        assert_eq!(post(&fleet, router, "the same prompt").await.status, 200);
    }
}

/// Replicas that end in this manner, and what routers wrote of runs that were left there.
async fn fleet_ending(manner: CrashTiming) -> (DirectFleet, Vec<Replica>) {
    let (fleet, replicas) = fleet(&[2, 1]).await;
    for replica in &replicas {
        replica.crash_on_with(FATAL, manner);
    }
    (fleet, replicas)
}

/// Waits until routers have looked at all replicas that ended.
async fn ends_are_noticed(
    fleet: &DirectFleet,
    replicas: &[Replica],
    tries: usize,
) {
    wait_until_async("a replica has ended, and that is known", async || {
        let logs = fleet.routers.iter().map(|router| router.log_text());
        let noticed = logs.map(|log| log.matches("whose runs were left").count());
        ended(replicas) == tries && noticed.sum::<usize>() >= tries
    })
    .await;
}

/// Before, an attempt that its router had ended itself spoke against nobody: 97 sends.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_end_after_a_head_without_proof_count_as_others() {
    let (fleet, replicas) = fleet_ending(CrashTiming::AfterHead).await;
    for tries in 1..=KNOWN_AFTER {
        let answer = post(&fleet, tries % 3, FATAL).await;
        assert_eq!((answer.status, answer.code()), (502, Some(69)));
        ends_are_noticed(&fleet, &replicas, tries).await;
    }
    until_held_back(&fleet, &replicas).await;
    is_held_back_alone(&fleet, &replicas).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_end_when_the_caller_has_left_count_as_others() {
    let (fleet, replicas) = fleet_ending(CrashTiming::Delayed).await;
    for tries in 1..=KNOWN_AFTER {
        let id = format!("{:016x}", rand::random::<u64>());
        let request = ClientRequest::post("/once/", &id, FATAL);
        let mut caller = Client::connect(fleet.caller_addresses[tries % 3])
            .await
            .expect("a connection");
        caller.send(&request.bytes()).await.expect("sent");
        wait_until_async("it is at a replica", async || {
            arrivals(&replicas, FATAL) == tries
        })
        .await;
        drop(caller);
        ends_are_noticed(&fleet, &replicas, tries).await;
    }
    until_held_back(&fleet, &replicas).await;
    is_held_back_alone(&fleet, &replicas).await;
}

/// Callers that leave speak against nobody while replicas live.
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_callers_leave_are_not_held_back_where_replicas_live() {
    let (fleet, replicas) = fleet_ending(CrashTiming::Delayed).await;
    for replica in &replicas {
        replica.push_answer(ReplicaAnswer::Silent);
    }
    for tries in 1..=REPLICAS {
        let request = ClientRequest::post("/once/", &format!("left-{tries}"), "a prompt");
        let mut caller = Client::connect(fleet.caller_addresses[tries % 3])
            .await
            .expect("a connection");
        caller.send(&request.bytes()).await.expect("sent");
        wait_until_async("it is at a replica", async || {
            arrivals(&replicas, "a prompt") == tries
        })
        .await;
    }
    for router in 0..3 {
        wait_until_async("it is served", async || {
            post(&fleet, router, "a prompt").await.status == 200
        })
        .await;
    }
    assert!(beliefs(&fleet).is_empty(), "{}", beliefs(&fleet));
}
