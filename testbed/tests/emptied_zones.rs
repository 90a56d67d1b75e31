//! The operator cordons a zone: its replicas get no new requests from any router until it is
//! uncordoned. Without cordons, about 750 requests reached such a zone more than 5 s after the
//! store had confirmed the change.

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

/// Requests sent after all routers know that a zone is cordoned.
const CHECKED_REQUESTS: usize = 40;

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

/// Two routers in each of three zones, with one replica per zone that answers with its id.
async fn fleet() -> (DirectFleet, [Replica; 3]) {
    // A router that hands connections on answers by what its neighbour knows.
    let fleet = DirectFleet::start_in_zones(&[2, 2, 2], "hand_on = 1.0\n").await;
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
        until_served_by(&fleet, router, own).await;
    }
    let replicas = replicas.try_into().unwrap_or_else(|_| unreachable!());
    (fleet, replicas)
}

/// Waits until requests to a router are answered by this replica.
async fn until_served_by(
    fleet: &DirectFleet,
    router: usize,
    replica: &str,
) {
    wait_until_async("the replica serves", async || {
        answer(fleet, router).await.text() == replica
    })
    .await;
}

/// Waits until no router sends requests to the replica of the zone `z-1`, then checks that it
/// stays so.
async fn until_unused(
    fleet: &DirectFleet,
    cordoned_replica: &Replica,
) {
    for router in 0..6 {
        wait_until_async("requests go elsewhere", async || {
            let answer = answer(fleet, router).await;
            answer.status == 200 && answer.text() != cordoned_replica.id
        })
        .await;
    }
    let before = cordoned_replica.received().len();
    for asked in 0..CHECKED_REQUESTS {
        assert_eq!(answer(fleet, asked % 6).await.status, 200);
    }
    assert_eq!(cordoned_replica.received().len(), before);
}

/// Cordons the second zone and checks that its replica gets nothing; then uncordons it and
/// waits until the replica serves the routers of the zone again.
async fn cordon_and_uncordon(
    fleet: &DirectFleet,
    replica: &Replica,
) {
    fleet.store.cordon_zone("z-1");
    until_unused(fleet, replica).await;
    fleet.store.uncordon_zone("z-1");
    for router in [2, 3] {
        until_served_by(fleet, router, "i-b").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cordoned_zone_gets_no_requests_until_it_is_uncordoned() {
    let (fleet, replicas) = fleet().await;
    cordon_and_uncordon(&fleet, &replicas[1]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_run_in_a_zone_complete_when_it_is_cordoned() {
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
    until_unused(&fleet, &replicas[1]).await;
    let ended = running.await.expect("an answer");
    assert_eq!((ended.status, ended.text().as_str()), (200, "late"));
}

#[tokio::test(flavor = "multi_thread")]
async fn with_every_zone_cordoned_requests_are_refused_at_once_and_not_run() {
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
async fn a_router_that_starts_without_the_store_knows_the_cordoned_zones() {
    let (mut fleet, replicas) = fleet().await;
    fleet.store.cordon_zone("z-1");
    until_unused(&fleet, &replicas[1]).await;
    fleet.store_ports[2].set_mode(StoreMode::Silent);
    fleet.routers[2].kill();
    fleet.routers[2].restart().expect("it starts again");
    wait_until_async("router 2 is ready", async || fleet.is_ready(2).await).await;
    let before = replicas[1].received().len();
    for _ in 0..CHECKED_REQUESTS {
        assert_eq!(answer(&fleet, 2).await.status, 200);
    }
    assert_eq!(replicas[1].received().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_without_the_store_learns_of_a_cordon_from_another_zone() {
    let (fleet, replicas) = fleet().await;
    for port in [2, 3] {
        fleet.store_ports[port].set_mode(StoreMode::Silent);
    }
    cordon_and_uncordon(&fleet, &replicas[1]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_without_the_history_of_an_uncordon_is_read_again_in_full() {
    let (fleet, replicas) = fleet().await;
    fleet.store.cordon_zone("z-1");
    until_unused(&fleet, &replicas[1]).await;
    for port in &fleet.store_ports {
        port.set_mode(StoreMode::Busy);
    }
    fleet.store.uncordon_zone("z-1");
    fleet.store.compact();
    for port in &fleet.store_ports {
        port.set_mode(StoreMode::Well);
    }
    for router in [2, 3] {
        until_served_by(&fleet, router, "i-b").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cordon_keys_that_name_no_zone_affect_only_themselves() {
    let (fleet, replicas) = fleet().await;
    for key in ["op/evacuate/", "op/evacuate/z/z-1", "op/evacuate/\u{1}"] {
        fleet.store.put_bytes(key, b"{}");
    }
    fleet.store.put_bytes("op/evacuate/z-2", b"\xff\xfe\x00");
    fleet.store.put_bytes("op/evacuate/nowhere", b"{}");
    fleet.store.cordon_zone("z-1");
    until_unused(&fleet, &replicas[1]).await;
    until_served_by(&fleet, 0, "i-a").await;
    until_served_by(&fleet, 4, "i-c").await;
}
