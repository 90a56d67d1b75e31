//! Streams of events: complete, in order, and resumed at another replica where the route allows
//! it.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText},
        fleet::wait_until,
    },
    std::time::Duration,
};

async fn two_replicas(usual: ReplicaAnswer) -> (DirectFleet, [Replica; 2]) {
    let once = RouteText {
        resumable: false,
        ..RouteText::new("/digest/", "s", "streaming")
    };
    let chat = RouteText::new("/chat/", "s", "streaming");
    DirectFleet::with_two_replicas(usual, &[chat, once]).await
}

fn events(numbers: std::ops::RangeInclusive<u32>) -> String {
    numbers
        .map(|number| format!("id: {number}\ndata: piece {number}\n\n"))
        .collect()
}

/// The header `Last-Event-Id` of each request that the replicas received.
fn last_event_ids(replicas: &[Replica]) -> Vec<String> {
    let seen = replicas.iter().flat_map(Replica::received);
    seen.map(|request| request.header("last-event-id").to_owned())
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn events_are_relayed_as_they_arrive() {
    let slow = ReplicaAnswer::Events {
        last: 3,
        pause: Duration::from_millis(100),
    };
    let (fleet, _replicas) = two_replicas(slow).await;
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("a connection");
    let request = ClientRequest::post("/chat/", "id-1", "prompt");
    client.send(&request.bytes()).await.expect("sent");
    assert!(client.wait_for("piece 1").await);
    assert!(!client.answer().await.text().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_goes_on_at_another_replica() {
    for failure in [
        ReplicaAnswer::EventsCut { after: 4, last: 9 },
        ReplicaAnswer::EventsStall { after: 4, last: 9 },
    ] {
        let (fleet, replicas) = two_replicas(failure.clone()).await;
        let first = ClientRequest::post("/chat/", "id-1", "prompt");
        let answer = Client::call_once(fleet.caller_addresses[0], &first).await;
        assert!(answer.status == 200 && answer.is_complete, "{failure:?}");
        assert_eq!(answer.text(), events(1..=9), "{failure:?}");
        let mut last_event_ids = last_event_ids(&replicas);
        last_event_ids.sort();
        assert_eq!(last_event_ids, ["", "4"], "{failure:?}");
        // The head is that of the first replica.
        let first_replica = replicas.iter().find(|replica| {
            replica
                .received()
                .iter()
                .any(|r| r.header("last-event-id").is_empty())
        });
        let signature = format!("s.{}", first_replica.expect("one was first").id);
        assert_eq!(answer.header("archmast-replica-signature"), signature);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_runs_once_is_cut_visibly() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::EventsCut { after: 4, last: 9 }).await;
    let request = ClientRequest::post("/digest/", "id-1", "prompt");
    let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
    assert_eq!(answer.status, 200);
    assert!(!answer.is_complete);
    assert_eq!(answer.text(), events(1..=4));
    assert_eq!(last_event_ids(&replicas).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_cut_before_its_first_event_is_an_error_answer() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::EventsCut { after: 0, last: 9 }).await;
    let request = ClientRequest::post("/digest/", "id-1", "prompt");
    let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
    assert_eq!((answer.status, answer.code()), (502, Some(51)));
    assert_eq!(last_event_ids(&replicas).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_resumes_a_stream_after_its_last_event() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::events(6)).await;
    let request = ClientRequest::post("/chat/", "id-1", "prompt").header("Last-Event-Id", "3");
    let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
    assert_eq!(answer.text(), events(4..=6));
    assert_eq!(last_event_ids(&replicas), ["3"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_client_left_stops() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::EventsStall { after: 2, last: 9 }).await;
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("a connection");
    let request = ClientRequest::post("/digest/", "id-1", "prompt");
    client.send(&request.bytes()).await.expect("sent");
    assert!(client.wait_for("piece 2").await);
    drop(client);
    let open = || {
        replicas
            .iter()
            .map(Replica::open_connections)
            .sum::<usize>()
    };
    wait_until("the connection to the replica is closed", || open() == 0).await;
}
