//! All routers start while the store is silent.

use archmast_testbed::{
    direct::{Client, ClientRequest, DirectFleet, ReplicaAnswer, RouteText, StoreMode},
    fleet::{wait_until, wait_until_async},
};

const ROUTERS: usize = 3;
const LOST_CALL: &str = "store does not answer";

/// All routers lose their first call to the silent store. Once it answers they serve, without
/// waiting for another call to time out. How long a call to a silent store delays the next one
/// is tested in `tests/silent_store.rs`.
#[tokio::test(flavor = "multi_thread")]
async fn routers_without_a_configuration_serve_as_soon_as_the_store_answers() {
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
    let lost_calls = |fleet: &DirectFleet, router: usize| {
        fleet.routers[router].log_text().matches(LOST_CALL).count()
    };
    let before: Vec<usize> = (0..ROUTERS)
        .map(|router| lost_calls(&fleet, router))
        .collect();
    for router in &mut fleet.routers {
        router.kill();
        router.restart().expect("starts again");
    }
    for (router, before) in before.iter().enumerate() {
        wait_until("the router's first call is lost", || {
            lost_calls(&fleet, router) > *before
        })
        .await;
    }
    let at_return: Vec<usize> = (0..ROUTERS)
        .map(|router| lost_calls(&fleet, router))
        .collect();
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
        // No call that was sent to the silent store was awaited until its time-out.
        assert_eq!(lost_calls(&fleet, router), at_return, "router {router}");
    }
}
