//! A router gets the signal that its settings changed right after its start. Without a handler
//! the signal ends the process, so the handler must be installed before the router listens.

use {
    archmast_testbed::{
        direct::{DirectFleet, ReplicaAnswer, RouteText},
        fleet::wait_until_async,
    },
    tokio::net::TcpStream,
};

/// Number of starts; each router is signalled as soon as callers can connect.
const STARTS: usize = 12;

#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_listens_lives_on_when_told_of_new_settings() {
    let mut fleet = DirectFleet::start(1, "").await;
    let _replica = fleet
        .start_replica("i-a", "s", ReplicaAnswer::ok("served"))
        .await;
    fleet
        .store
        .publish(1, &[RouteText::new("/read/", "s", "idempotent")]);
    fleet.wait_until_ready().await;
    for _ in 0..STARTS {
        fleet.routers[0].kill();
        fleet.routers[0].restart().expect("it starts again");
        let callers = fleet.caller_addresses[0];
        while TcpStream::connect(callers).await.is_err() {
            tokio::task::yield_now().await;
        }
        fleet.routers[0].signal_reload();
        wait_until_async("the signalled router is ready", async || {
            fleet.is_ready(0).await
        })
        .await;
        assert!(fleet.routers[0].exit_status().is_none());
    }
}
