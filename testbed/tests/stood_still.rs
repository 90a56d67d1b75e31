//! A router process is suspended, as by a signal or with its machine. When it resumes, its
//! configuration is outdated, and requests wait on its connections. It must not serve them
//! before it has confirmed what it knows.

use archmast_testbed::{
    direct::{Client, ClientRequest, DirectFleet, ReplicaAnswer, RouteText},
    fleet::wait_until_async,
};

/// Result code while a router has not confirmed its configuration after a suspension.
const UNCONFIRMED_CODE: u64 = 45;

/// Log text of a process that notices a suspension: these routers notice one of 1500 ms.
const SUSPENSION_LOGGED: &str = "the process stood still";

fn route(prefix: &'static str) -> RouteText {
    RouteText::new(prefix, "s", "idempotent")
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_waited_for_a_suspended_router_are_not_served_by_its_old_configuration() {
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
    let suspended_at = std::time::Instant::now();
    fleet.store.publish(2, &[route("/new/")]);
    fleet.wait_until_served(0, "/new/", 200).await;
    wait_until_async("the suspension is longer than tolerated", async || {
        suspended_at.elapsed() > std::time::Duration::from_millis(2000)
    })
    .await;
    for (number, client) in waiting.iter_mut().enumerate() {
        let late = ClientRequest::get("/old/", &format!("late-{number}"));
        client.send(&late.bytes()).await.expect("a connection");
    }
    fleet.routers[1].thaw();
    for client in &mut waiting {
        let answer = client.answer().await;
        let refused = [Some(UNCONFIRMED_CODE), Some(62)];
        assert!(refused.contains(&answer.code()), "{answer:?}");
    }
    let seen = replica.received();
    let late = seen
        .iter()
        .filter(|request| request.attempt_id().starts_with("late"));
    assert_eq!(late.count(), 0);
    fleet.wait_until_served(1, "/new/", 200).await;
    wait_until_async("the router logs the suspension", async || {
        fleet.routers[1].log_text().contains(SUSPENSION_LOGGED)
    })
    .await;
}

/// Guards against cutting a stream whose events arrived while its router was suspended, since
/// timers fire before sockets are read.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_delivered_whole_though_its_router_was_suspended_longer_than_any_timeout() {
    let fleet = DirectFleet::start(1, "").await;
    let events = ReplicaAnswer::Events {
        last: 8,
        pause: std::time::Duration::from_millis(100),
    };
    let replica = fleet.start_replica("i-a", "s", events).await;
    let chat = RouteText {
        timeout_ms: 2000,
        ..RouteText::new("/chat/", "s", "streaming")
    };
    fleet.store.publish(1, &[chat]);
    fleet.wait_until_ready().await;
    fleet.wait_until_served(0, "/chat/", 200).await;
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("it listens");
    let request = ClientRequest::post("/chat/", "stream-1", "prompt");
    client.send(&request.bytes()).await.expect("a connection");
    assert!(client.wait_for("piece 2").await);
    fleet.routers[0].freeze();
    // Longer than the route's time-out and the replica's stream.
    tokio::time::sleep(std::time::Duration::from_millis(2500)).await;
    fleet.routers[0].thaw();
    let answer = client.answer().await;
    assert!(answer.status == 200 && answer.is_complete, "{answer:?}");
    assert!(answer.text().contains("piece 8"));
    assert_eq!(replica.received_count("stream-1"), 1);
}
