//! A router that stood still, as a stopped process or a suspended machine, woke up with a
//! configuration from before and served by it what had waited for it meanwhile: nothing in
//! it compared the time that had gone by with the age of what it knew.

use archmast_testbed::{
    direct::{Client, ClientRequest, DirectFleet, ReplicaAnswer, RouteText},
    fleet::wait_until_async,
};

/// The number that a request gets while a router does not know what has changed.
const UNCONFIRMED: u64 = 45;

/// What is logged when a process notices that it stood still; settings say 1500 ms.
const NOTICED: &str = "the process stood still";

fn route(prefix: &'static str) -> RouteText {
    RouteText::new(prefix, "s", "idempotent")
}

#[tokio::test(flavor = "multi_thread")]
async fn what_waited_for_a_router_that_stood_still_is_not_served_by_what_it_knew_before() {
    let fleet = DirectFleet::start(2, "").await;
    let replica = fleet
        .start_replica("i-a", "s", ReplicaAnswer::ok("served"))
        .await;
    fleet.store.publish(1, &[route("/old/")]);
    fleet.wait_until_ready().await;
    for router in 0..2 {
        fleet.wait_until_served(router, "/old/", 200).await;
    }
    let mut waiting = Vec::new();
    for number in 0..8 {
        let mut client = Client::connect(fleet.caller_addresses[1])
            .await
            .expect("it listens");
        let before = ClientRequest::get("/old/", &format!("before-{number}"));
        assert_eq!(client.call(&before).await.status, 200);
        waiting.push(client);
    }
    fleet.routers[1].freeze();
    let stopped = std::time::Instant::now();
    fleet.store.publish(2, &[route("/new/")]);
    fleet.wait_until_served(0, "/new/", 200).await;
    wait_until_async("it stood still for longer than is let pass", async || {
        stopped.elapsed() > std::time::Duration::from_millis(2000)
    })
    .await;
    for (number, client) in waiting.iter_mut().enumerate() {
        let late = ClientRequest::get("/old/", &format!("late-{number}"));
        client.send(&late.bytes()).await.expect("a connection");
    }
    fleet.routers[1].thaw();
    for client in &mut waiting {
        let answer = client.answer().await;
        let refused = [Some(UNCONFIRMED), Some(62)];
        assert!(refused.contains(&answer.code()), "{answer:?}");
    }
    let seen = replica.received();
    let late = seen
        .iter()
        .filter(|request| request.attempt_id().starts_with("late"));
    assert_eq!(late.count(), 0);
    fleet.wait_until_served(1, "/new/", 200).await;
    wait_until_async("it says that it stood still", async || {
        fleet.routers[1].log_text().contains(NOTICED)
    })
    .await;
}
