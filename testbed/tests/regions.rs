//! Routes that may be served in some regions only.

use archmast_testbed::{
    direct::{Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText},
    fleet::wait_until,
};

const REQUESTS: usize = 20;

async fn replica_in(
    fleet: &DirectFleet,
    zone: &str,
    id: &str,
) -> Replica {
    let replica = Replica::start(fleet.standins(), id, ReplicaAnswer::ok(id)).await;
    let address = replica.address;
    fleet.store.list_replica_in(zone, id, "s", address, "ready");
    replica
}

/// The replica of the allowed region fails, then leaves: no request goes to another region.
#[tokio::test(flavor = "multi_thread")]
async fn a_route_is_served_only_in_its_regions_even_when_replicas_fail_there() {
    let regions = "[regions]\nzones = z:north, z-south:south\n";
    let fleet = DirectFleet::start(1, regions).await;
    let north = replica_in(&fleet, "z", "i-north").await;
    let south = replica_in(&fleet, "z-south", "i-south").await;
    let bounded = RouteText {
        regions: &["north"],
        ..RouteText::new("/bounded/", "s", "idempotent")
    };
    fleet
        .store
        .publish(1, &[bounded, RouteText::new("/any/", "s", "idempotent")]);
    fleet.wait_until_ready().await;
    let log = || fleet.routers[0].log_text();
    wait_until("both replicas are known", || {
        log().matches("upstream Ready").count() >= 2
    })
    .await;
    let ask = async |path: &str| {
        Client::call_once(fleet.caller_addresses[0], &ClientRequest::get(path, "x")).await
    };
    for _ in 0..REQUESTS {
        assert_eq!(ask("/bounded/").await.text(), "i-north");
    }
    assert!(south.received().is_empty());
    north.set_default_answer(ReplicaAnswer::Close);
    for _ in 0..REQUESTS {
        assert_ne!(ask("/bounded/").await.status, 200);
    }
    assert!(south.received().is_empty());
    fleet.store.remove_replica("i-north");
    wait_until("i-north is gone", || log().contains("upstream gone")).await;
    let answer = ask("/bounded/").await;
    assert_eq!((answer.status, answer.code()), (503, Some(29)));
    assert!(answer.retry_after().is_some());
    assert!(south.received().is_empty());
    assert_eq!(ask("/any/").await.text(), "i-south");
}
