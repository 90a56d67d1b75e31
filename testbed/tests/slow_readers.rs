//! Callers that read slowly, or send slowly, cost only themselves.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText},
        fleet::wait_until,
    },
    std::time::Duration,
};

/// A router with so much memory, before one replica with a stream of so many events.
async fn fleet(
    memory: &str,
    events: u32,
) -> (DirectFleet, Replica) {
    let fleet = DirectFleet::start(1, &format!("[memory]\nlimit = {memory}\n")).await;
    let replica = fleet
        .start_replica("i-a", "s", ReplicaAnswer::events(events))
        .await;
    let routes = [
        RouteText {
            timeout_ms: 60_000,
            ..RouteText::new("/events/", "s", "streaming")
        },
        RouteText::new("/other/", "other", "idempotent"),
    ];
    fleet.store.publish(1, &routes);
    fleet.wait_until_ready().await;
    wait_until("the replica is known", || {
        log(&fleet).contains("upstream Ready")
    })
    .await;
    (fleet, replica)
}

fn log(fleet: &DirectFleet) -> String {
    fleet.routers[0].log_text()
}

async fn begun_stream(fleet: &DirectFleet) -> Client {
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("connects");
    let request = ClientRequest::post("/events/", "slow", "{}");
    client.send(&request.bytes()).await.expect("is sent");
    assert!(client.wait_for("id: 1\n").await);
    client
}

/// A router read a replica's stream no further once its caller stopped reading: replicas cut
/// off what is left unread for some seconds.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_read_on_for_a_caller_that_pauses() {
    let (fleet, _replica) = fleet("128 MB", 24_000).await;
    let mut pauses = begun_stream(&fleet).await;
    wait_until("the replica's stream is read to its end", || {
        log(&fleet).contains("stream ended")
    })
    .await;
    assert!(log(&fleet).contains(r#""how":"whole""#));
    // Longer than the kernel waits for a replica that takes nothing.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let answer = pauses.answer().await;
    assert!(answer.is_complete);
    assert!(answer.text().ends_with("id: 24000\ndata: piece 24000\n\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_nothing_loses_only_its_own_stream() {
    let (fleet, replica) = fleet("16 MB", 400_000).await;
    let mut stuck = begun_stream(&fleet).await;
    replica.set_default_answer(ReplicaAnswer::events(3));
    wait_until("the stream is given up", || {
        log(&fleet).contains(r#""code":48"#)
    })
    .await;
    assert!(!stuck.answer().await.is_complete);
    for _ in 0..10 {
        let request = ClientRequest::post("/events/", "quick", "{}");
        let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
        assert!((answer.status, answer.is_complete) == (200, true));
    }
    assert_eq!(log(&fleet).matches(r#""code":48"#).count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_uploads_leave_room_for_others() {
    const SLOW: usize = 80;
    let (fleet, replica) = fleet("16 MB", 3).await;
    let mut slow = Vec::new();
    let sent = "x".repeat(60_000);
    let head = ClientRequest::post("/events/", "slow", "").header("Content-Length", "65000");
    for _ in 0..SLOW {
        let mut client = Client::connect(fleet.caller_addresses[0])
            .await
            .expect("connects");
        client.send(&head.bytes()).await.expect("is sent");
        client.send(sent.as_bytes()).await.expect("is sent");
        slow.push(client);
    }
    wait_until("bodies are held", || log(&fleet).contains(r#""code":49"#)).await;
    let request = ClientRequest::post("/events/", "quick", "{}");
    let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
    assert!((answer.status, answer.is_complete) == (200, true));
    assert_eq!(replica.received().len(), 1);
    // Those that were begun first are still read to their ends.
    slow[0].send(&[b'x'; 5_000]).await.expect("is sent");
    assert_eq!(slow[0].answer().await.status, 200);
}
