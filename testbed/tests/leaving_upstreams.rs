//! A router that has just restarted knows which upstreams the store lists, but not which ones
//! were removed before. Guards against such a router answering a peer that asks for the changes
//! since an older revision with its own revision and without the removal: the peer would
//! consider itself up to date and keep sending to an upstream that is gone (2001 requests in
//! 27 s).

use archmast_testbed::{
    direct::{Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText, StoreMode},
    fleet::wait_until_async,
};

fn route(prefix: &'static str) -> RouteText {
    RouteText::new(prefix, "s", "idempotent")
}

/// Three routers with two replicas. Each router has used the first, which is to leave.
async fn fleet() -> (DirectFleet, [Replica; 2]) {
    let fleet = DirectFleet::start(3, "").await;
    let leaves = fleet
        .start_replica("i-a", "s", ReplicaAnswer::ok("a"))
        .await;
    let stays = fleet
        .start_replica("i-b", "s", ReplicaAnswer::ok("b"))
        .await;
    fleet.store.publish(1, &[route("/first/")]);
    fleet.wait_until_ready().await;
    for router in 0..3 {
        wait_until_async("both replicas are known", async || {
            let log = fleet.routers[router].log_text();
            log.matches("upstream Ready").count() >= 2
        })
        .await;
        wait_until_async("the first replica is used", async || {
            answering_replica(&fleet, router).await == "a"
        })
        .await;
    }
    (fleet, [leaves, stays])
}

async fn answering_replica(
    fleet: &DirectFleet,
    router: usize,
) -> String {
    let request = ClientRequest::get("/first/", "probe");
    Client::call_once(fleet.caller_addresses[router], &request)
        .await
        .text()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_left_while_the_others_restarted_gets_nothing() {
    let (mut fleet, [leaves, _stays]) = fleet().await;
    fleet.store_ports[0].set_mode(StoreMode::Busy);
    fleet.routers[1].kill();
    fleet.routers[2].kill();
    fleet.store.remove_replica("i-a");
    for router in [1, 2] {
        fleet.routers[router].restart().expect("it starts again");
    }
    // Published after the removal: a router that serves this route has passed that revision.
    fleet
        .store
        .publish(2, &[route("/first/"), route("/second/")]);
    for router in 0..3 {
        fleet.wait_until_served(router, "/second/", 200).await;
    }
    wait_until_async("the other replica serves", async || {
        answering_replica(&fleet, 0).await == "b"
    })
    .await;
    let before = leaves.received().len();
    for _ in 0..40 {
        assert_eq!(answering_replica(&fleet, 0).await, "b");
    }
    assert_eq!(leaves.received().len(), before);
}
