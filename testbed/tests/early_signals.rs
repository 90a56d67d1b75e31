//! Routers that had been killed started again as they were told that their settings changed.
//! One of them wrote nothing any more and was gone: until the task that watches the settings
//! has begun, the signal ends a process. Each that listens must have taken it over.

use {
    archmast_testbed::{
        direct::{DirectFleet, ReplicaAnswer, RouteText},
        fleet::wait_until_async,
    },
    tokio::net::TcpStream,
};

/// Starts that are told of new settings as soon as callers can connect.
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
        wait_until_async("it serves, or has ended", async || fleet.is_ready(0).await).await;
        assert!(fleet.routers[0].exit_status().is_none());
    }
}
