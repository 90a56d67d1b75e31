//! Routers that all start while the store is silent.

use archmast_testbed::{
    direct::{Client, ClientRequest, DirectFleet, ReplicaAnswer, RouteText, StoreMode},
    fleet::{wait_until, wait_until_async},
};

const ROUTERS: usize = 3;
const LOST_CALL: &str = "store does not answer";

/// All routers are lost in a silence of the store, and serve once it speaks, without losing
/// another call. How long a call that was sent into the silence holds the next one back is
/// tested in `tests/silent_store.rs`.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_know_nothing_serve_as_soon_as_the_store_speaks() {
    let mut fleet = DirectFleet::start(ROUTERS, "").await;
    let _replica = fleet
        .start_replica("i-a", "s", ReplicaAnswer::ok("whole"))
        .await;
    fleet
        .store
        .publish(1, &[RouteText::new("/first/", "s", "idempotent")]);
    fleet.wait_until_ready().await;
    for port in &fleet.store_ports {
        port.set_mode(StoreMode::Silent);
    }
    let lost = |fleet: &DirectFleet, router: usize| {
        fleet.routers[router].log_text().matches(LOST_CALL).count()
    };
    let before: Vec<usize> = (0..ROUTERS).map(|router| lost(&fleet, router)).collect();
    for router in &mut fleet.routers {
        router.kill();
        router.restart().expect("starts again");
    }
    for (router, before) in before.iter().enumerate() {
        wait_until("its first call is lost", || lost(&fleet, router) > *before).await;
    }
    let at_return: Vec<usize> = (0..ROUTERS).map(|router| lost(&fleet, router)).collect();
    for port in &fleet.store_ports {
        port.set_mode(StoreMode::Well);
    }
    fleet.wait_until_ready().await;
    for (router, at_return) in at_return.into_iter().enumerate() {
        wait_until_async("the route is served", async || {
            let request = ClientRequest::get("/first/", "asked");
            Client::call_once(fleet.caller_addresses[router], &request)
                .await
                .status
                == 200
        })
        .await;
        // No call that was sent into the silence was waited for to its end.
        assert_eq!(lost(&fleet, router), at_return, "router {router}");
    }
}
