//! Requests reached an upstream for seconds after the platform's store had confirmed that
//! it leaves, and the router that sent them met a closed port there in the end. A router
//! that had started anew knew what the store lists, and nothing of what had left before.
//! Asked for what changed after an older revision, it gave its own revision without the
//! removal, and the asker believed itself up to date from then on. Played here, 2001
//! requests in 27 s went to an upstream that was gone; the asker's log:
//!
//! ```text
//! "news of the upstreams taken in" after 3, at 5, records 0
//! "sent" replica i-a, upstream_at 1, upstream_from store, upstreams_at 5
//! ```

use archmast_testbed::{
    direct::{Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText, StoreMode},
    fleet::wait_until_async,
};

fn route(prefix: &'static str) -> RouteText {
    RouteText::new(prefix, "s", "idempotent")
}

/// Three routers that know two replicas, of which the first is to leave, and that each have
/// used it.
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
        wait_until_async("the first is used", async || {
            got_by(&fleet, router).await == "a"
        })
        .await;
    }
    (fleet, [leaves, stays])
}

async fn got_by(
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
    // A route that is published after the removal: who has it has come past it.
    fleet
        .store
        .publish(2, &[route("/first/"), route("/second/")]);
    for router in 0..3 {
        fleet.wait_until_served(router, "/second/", 200).await;
    }
    wait_until_async("the other one serves", async || {
        got_by(&fleet, 0).await == "b"
    })
    .await;
    let before = leaves.received().len();
    for _ in 0..40 {
        assert_eq!(got_by(&fleet, 0).await, "b");
    }
    assert_eq!(leaves.received().len(), before);
}
