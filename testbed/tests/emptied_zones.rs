//! The operator empties a zone: its replicas get nothing new from any router until the
//! zone is taken back. Before, nothing in the product could say so: 745 to 768 requests
//! reached such a zone more than 5 s after the store had confirmed that it is emptied.

use {
    archmast_testbed::{
        direct::{
            Client, ClientAnswer, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText,
            StoreMode,
        },
        fleet::wait_until_async,
    },
    std::time::Duration,
};

/// Requests that are asked for after a zone is known to be emptied.
const AFTER: usize = 40;

fn route(prefix: &'static str) -> RouteText {
    RouteText::new(prefix, "s", "idempotent")
}

async fn answer(
    fleet: &DirectFleet,
    router: usize,
) -> ClientAnswer {
    let request = ClientRequest::get("/first/", "probe");
    Client::call_once(fleet.caller_addresses[router], &request).await
}

/// Two routers in each of three zones, with one replica a zone that says its name.
async fn fleet() -> (DirectFleet, [Replica; 3]) {
    let fleet = DirectFleet::start_in_zones(&[2, 2, 2], "").await;
    let mut replicas = Vec::new();
    for (id, zone) in [("i-a", "z"), ("i-b", "z-1"), ("i-c", "z-2")] {
        let replica = Replica::start(fleet.standins(), id, ReplicaAnswer::ok(id)).await;
        fleet
            .store
            .list_replica_in(zone, id, "s", replica.address, "ready");
        replicas.push(replica);
    }
    let once = RouteText::new("/once/", "s", "non_idempotent");
    fleet.store.publish(1, &[route("/first/"), once]);
    fleet.wait_until_ready().await;
    for router in 0..6 {
        let own = ["i-a", "i-b", "i-c"][router / 2];
        serves_by(&fleet, router, own).await;
    }
    let replicas = replicas.try_into().unwrap_or_else(|_| unreachable!());
    (fleet, replicas)
}

/// Waits until a router's requests go to this replica.
async fn serves_by(
    fleet: &DirectFleet,
    router: usize,
    replica: &str,
) {
    wait_until_async("the replica serves", async || {
        answer(fleet, router).await.text() == replica
    })
    .await;
}

/// Waits until no router sends anything to the replica of the zone `z-1`, then sees that
/// it stays so.
async fn gets_nothing(
    fleet: &DirectFleet,
    emptied: &Replica,
) {
    for router in 0..6 {
        wait_until_async("requests go elsewhere", async || {
            let answer = answer(fleet, router).await;
            answer.status == 200 && answer.text() != emptied.id
        })
        .await;
    }
    let before = emptied.received().len();
    for asked in 0..AFTER {
        assert_eq!(answer(fleet, asked % 6).await.status, 200);
    }
    assert_eq!(emptied.received().len(), before);
}

/// The second zone is emptied: its replica gets nothing until the zone is taken back, and
/// then serves its routers again.
async fn is_emptied_and_taken_back(
    fleet: &DirectFleet,
    replica: &Replica,
) {
    fleet.store.cordon_zone("z-1");
    gets_nothing(fleet, replica).await;
    fleet.store.uncordon_zone("z-1");
    for router in [2, 3] {
        serves_by(fleet, router, "i-b").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_emptied_zone_gets_nothing_until_it_is_taken_back() {
    let (fleet, replicas) = fleet().await;
    is_emptied_and_taken_back(&fleet, &replicas[1]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn what_runs_in_a_zone_ends_in_peace_when_it_is_emptied() {
    let (fleet, replicas) = fleet().await;
    let slow = ReplicaAnswer::Slow {
        body: "late".to_owned(),
        after: Duration::from_millis(1500),
    };
    replicas[1].push_answer(slow);
    let callers = fleet.caller_addresses[2];
    let running = tokio::spawn(async move {
        let request = ClientRequest::get("/once/", "slow");
        Client::call_once(callers, &request).await
    });
    wait_until_async("the request is at the replica", async || {
        replicas[1]
            .received()
            .iter()
            .any(|seen| seen.attempt_id() == "slow")
    })
    .await;
    fleet.store.cordon_zone("z-1");
    gets_nothing(&fleet, &replicas[1]).await;
    let ended = running.await.expect("an answer");
    assert_eq!((ended.status, ended.text().as_str()), (200, "late"));
}

#[tokio::test(flavor = "multi_thread")]
async fn with_every_zone_emptied_requests_are_refused_at_once_and_not_run() {
    let (fleet, replicas) = fleet().await;
    for zone in ["z", "z-1", "z-2"] {
        fleet.store.cordon_zone(zone);
    }
    for router in 0..6 {
        wait_until_async("requests are refused", async || {
            let answer = answer(&fleet, router).await;
            (answer.status, answer.code()) == (503, Some(46))
        })
        .await;
    }
    let seen = || {
        replicas
            .iter()
            .map(|replica| replica.received().len())
            .sum::<usize>()
    };
    let before = seen();
    for router in 0..6 {
        let answer = answer(&fleet, router).await;
        assert_eq!((answer.status, answer.code()), (503, Some(46)));
        let wait: f64 = answer.header("retry-after").parse().expect("seconds");
        assert!(wait > 0.0);
    }
    assert_eq!(seen(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_starts_without_the_store_knows_what_is_emptied() {
    let (mut fleet, replicas) = fleet().await;
    fleet.store.cordon_zone("z-1");
    gets_nothing(&fleet, &replicas[1]).await;
    fleet.store_ports[2].set_mode(StoreMode::Silent);
    fleet.routers[2].kill();
    fleet.routers[2].restart().expect("it starts again");
    wait_until_async("it is ready again", async || fleet.is_ready(2).await).await;
    let before = replicas[1].received().len();
    for _ in 0..AFTER {
        assert_eq!(answer(&fleet, 2).await.status, 200);
    }
    assert_eq!(replicas[1].received().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_cut_off_from_the_store_hears_of_it_from_another_zone() {
    let (fleet, replicas) = fleet().await;
    for port in [2, 3] {
        fleet.store_ports[port].set_mode(StoreMode::Silent);
    }
    is_emptied_and_taken_back(&fleet, &replicas[1]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_forgot_that_a_zone_was_taken_back_is_read_anew() {
    let (fleet, replicas) = fleet().await;
    fleet.store.cordon_zone("z-1");
    gets_nothing(&fleet, &replicas[1]).await;
    for port in &fleet.store_ports {
        port.set_mode(StoreMode::Busy);
    }
    fleet.store.uncordon_zone("z-1");
    fleet.store.compact();
    for port in &fleet.store_ports {
        port.set_mode(StoreMode::Well);
    }
    for router in [2, 3] {
        serves_by(&fleet, router, "i-b").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_that_name_no_zone_cost_themselves_only() {
    let (fleet, replicas) = fleet().await;
    for key in ["op/evacuate/", "op/evacuate/z/z-1", "op/evacuate/\u{1}"] {
        fleet.store.put_bytes(key, b"{}");
    }
    fleet.store.put_bytes("op/evacuate/z-2", b"\xff\xfe\x00");
    fleet.store.put_bytes("op/evacuate/nowhere", b"{}");
    fleet.store.cordon_zone("z-1");
    gets_nothing(&fleet, &replicas[1]).await;
    serves_by(&fleet, 0, "i-a").await;
    serves_by(&fleet, 4, "i-c").await;
}
