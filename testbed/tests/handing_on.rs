//! Connections of callers that one router hands on to another of its zone.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText},
        fleet::until,
    },
    std::time::Duration,
};

/// Two routers that hand on whatever callers of their own bring, and a replica.
async fn fleet_that_hands_on() -> (DirectFleet, Replica) {
    let fleet = DirectFleet::start(2, "hand_on = 0.0\n").await;
    let replica = fleet.replica("i-a", "s", ReplicaAnswer::ok("answer")).await;
    let plain = RouteText::new("/plain/", "s", "non_idempotent");
    let chat = RouteText::new("/chat/", "s", "streaming");
    fleet.store.publish(1, &[plain, chat]);
    fleet.all_ready().await;
    for router in [0, 1] {
        until("it knows its neighbour and the replica", || {
            let log = fleet.routers[router].log_text();
            log.contains("connections are handed on") && log.contains("upstream Ready")
        })
        .await;
    }
    (fleet, replica)
}

fn sent_by(
    fleet: &DirectFleet,
    router: usize,
    id: &str,
) -> bool {
    let log = fleet.routers[router].log_text();
    log.lines()
        .any(|line| line.contains(id) && line.contains(r#""message":"sent""#))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_busy_routers_callers_are_served_by_its_neighbour_and_handed_on_once() {
    let (fleet, replica) = fleet_that_hands_on().await;
    let mut client = Client::connect(fleet.callers[0]).await.expect("connected");
    for id in ["first-1", "first-2"] {
        let answer = client.call(&ClientRequest::get("/plain/", id)).await;
        assert_eq!((answer.status, answer.text()), (200, "answer".to_owned()));
        until("the neighbour sent it", || sent_by(&fleet, 1, id)).await;
        assert!(!sent_by(&fleet, 0, id));
        if answer.header("connection") == "close" {
            client = Client::connect(fleet.callers[0]).await.expect("connected");
        }
    }
    assert_eq!(replica.seen().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_whose_neighbour_is_gone_is_told_that_the_outcome_is_unknown() {
    let (mut fleet, replica) = fleet_that_hands_on().await;
    replica.usually(ReplicaAnswer::Silent);
    let mut client = Client::connect(fleet.callers[0]).await.expect("connected");
    let request = ClientRequest::get("/plain/", "lost-1");
    client.send(&request.bytes()).await.expect("sent");
    until("the replica has it", || !replica.seen().is_empty()).await;
    fleet.routers[1].kill();
    let answer = client.answer().await;
    assert_eq!((answer.status, answer.code()), (502, Some(50)));
    assert!(answer.whole);
    // With nobody to hand on to, the router serves for itself again.
    replica.usually(ReplicaAnswer::ok("answer"));
    let own = ClientRequest::get("/plain/", "own-1");
    assert_eq!(Client::ask(fleet.callers[0], &own).await.status, 200);
    until("it sent it by itself", || sent_by(&fleet, 0, "own-1")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_stream_that_was_handed_on() {
    let (mut fleet, replica) = fleet_that_hands_on().await;
    replica.usually(ReplicaAnswer::Events {
        last: 8,
        pause: Duration::from_millis(200),
    });
    let mut client = Client::connect(fleet.callers[0]).await.expect("connected");
    let request = ClientRequest::post("/chat/", "stream-1", "prompt");
    client.send(&request.bytes()).await.expect("sent");
    assert!(client.wait_for("piece 2").await);
    until("the neighbour sent it", || sent_by(&fleet, 1, "stream-1")).await;
    fleet.routers[0].terminate();
    let answer = client.answer().await;
    assert!(answer.status == 200 && answer.whole);
    assert!(answer.text().contains("piece 8"));
    drop(client);
    until("it stops by itself", || fleet.routers[0].ended().is_some()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_its_request_behind_the_neighbour_too() {
    let (fleet, replica) = fleet_that_hands_on().await;
    replica.usually(ReplicaAnswer::Silent);
    let mut client = Client::connect(fleet.callers[0]).await.expect("connected");
    let request = ClientRequest::get("/plain/", "left-1");
    client.send(&request.bytes()).await.expect("sent");
    until("the replica has it", || replica.open() == 1).await;
    drop(client);
    until("its connection to the replica ends", || replica.open() == 0).await;
}
