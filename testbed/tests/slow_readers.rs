//! Callers that read or send slowly do not affect others.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText},
        fleet::wait_until,
    },
    std::time::Duration,
};

/// A router with this memory limit, and one replica that streams this many events.
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

async fn started_stream(fleet: &DirectFleet) -> Client {
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("connects");
    let request = ClientRequest::post("/events/", "slow", "{}");
    client.send(&request.bytes()).await.expect("is sent");
    assert!(client.wait_for("id: 1\n").await);
    client
}

/// Guards against a router that stops reading from a replica when its caller stops reading:
/// replicas close a stream that is not read for some seconds.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_read_to_its_end_while_its_caller_pauses() {
    let (fleet, _replica) = fleet("128 MB", 24_000).await;
    let mut slow_caller = started_stream(&fleet).await;
    wait_until("the replica's stream is read to its end", || {
        log(&fleet).contains("stream ended")
    })
    .await;
    assert!(log(&fleet).contains(r#""how":"whole""#));
    // Longer than the kernel keeps a connection to a replica that accepts no data.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let answer = slow_caller.answer().await;
    assert!(answer.is_complete);
    assert!(answer.text().ends_with("id: 24000\ndata: piece 24000\n\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_nothing_loses_only_its_own_stream() {
    let (fleet, replica) = fleet("16 MB", 400_000).await;
    let mut stuck = started_stream(&fleet).await;
    replica.set_default_answer(ReplicaAnswer::events(3));
    wait_until("the stream is cut", || log(&fleet).contains(r#""code":48"#)).await;
    assert!(!stuck.answer().await.is_complete);
    for _ in 0..10 {
        let request = ClientRequest::post("/events/", "quick", "{}");
        let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
        assert!((answer.status, answer.is_complete) == (200, true));
    }
    assert_eq!(log(&fleet).matches(r#""code":48"#).count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_uploads_leave_memory_for_others() {
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
    // Uploads that started first are still read to their ends.
    slow[0].send(&[b'x'; 5_000]).await.expect("is sent");
    assert_eq!(slow[0].answer().await.status, 200);
}
