//! A busy router forwards connections to a neighbour that is suspended: the kernel accepts them,
//! and nobody reads them. Each caller still gets an answer, which does not claim that the request
//! did not run if the neighbour may have sent it.

use {
    archmast_testbed::{
        direct::{
            Client, ClientAnswer, ClientRequest, ConfigText, ReplicaAnswer, RouteText,
            forwarding_fleet,
        },
        fleet::wait_until,
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// How long callers wait: far longer than a router that notices the suspension takes.
const PATIENCE: Duration = Duration::from_secs(20);

/// Body that exceeds what the kernel buffers for a process that does not read.
const LONG_BODY_BYTES: usize = 48 << 20;

async fn answer_to(client: &mut Client) -> ClientAnswer {
    timeout(PATIENCE, client.answer())
        .await
        .expect("an answer while the neighbour is suspended")
}

fn has_outcome_unknown(answer: &ClientAnswer) -> bool {
    (answer.status, answer.code(), answer.is_complete) == (502, Some(50), true)
}

/// Guards against requests that stay with a suspended neighbour unanswered.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_serves_a_caller_itself_whose_neighbour_is_suspended() {
    let (fleet, replica) = forwarding_fleet().await;
    fleet.routers[1].freeze();
    // The router still takes the neighbour for running, by its last report.
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("connected");
    let request = ClientRequest::get("/plain/", "own-1");
    client.send(&request.bytes()).await.expect("sent");
    assert_eq!(answer_to(&mut client).await.status, 200);
    wait_until("the router sent it", || fleet.was_sent_by(0, "own-1")).await;
    assert_eq!(replica.received_count("own-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_neighbour_is_suspended_afterwards_gets_an_unknown_outcome() {
    let (fleet, replica) = forwarding_fleet().await;
    replica.set_default_answer(ReplicaAnswer::Silent);
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("connected");
    let request = ClientRequest::get("/plain/", "held-1");
    client.send(&request.bytes()).await.expect("sent");
    wait_until("the neighbour sent it", || fleet.was_sent_by(1, "held-1")).await;
    fleet.routers[1].freeze();
    let answer = answer_to(&mut client).await;
    assert!(has_outcome_unknown(&answer), "{answer:?}");
    assert_eq!(replica.received_count("held-1"), 1);
}

/// The connection was used before, and the neighbour is suspended while it is idle.
#[tokio::test(flavor = "multi_thread")]
async fn a_later_request_on_a_forwarded_connection_is_answered_too() {
    let (fleet, _replica) = forwarding_fleet().await;
    fleet.keep_connections(1).await;
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("connected");
    let first = client.call(&ClientRequest::get("/plain/", "first-1")).await;
    assert_eq!((first.status, first.header("connection")), (200, ""));
    wait_until("the neighbour sent it", || fleet.was_sent_by(1, "first-1")).await;
    fleet.routers[1].freeze();
    let request = ClientRequest::get("/plain/", "later-1");
    client.send(&request.bytes()).await.expect("sent");
    let answer = answer_to(&mut client).await;
    assert!(has_outcome_unknown(&answer), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_body_that_a_suspended_neighbour_does_not_read_is_answered() {
    let (fleet, _replica) = forwarding_fleet().await;
    let routes = [RouteText::new("/long/", "s", "non_idempotent")];
    fleet.store.publish_config(&ConfigText {
        max_body: LONG_BODY_BYTES,
        ..ConfigText::new(2, &routes)
    });
    for router in 0..2 {
        fleet.wait_until_served(router, "/long/", 200).await;
    }
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("connected");
    let forwarded = r#""message":"connection handed on""#;
    let forwarded_before = fleet.routers[0].log_text().matches(forwarded).count();
    let length = LONG_BODY_BYTES.to_string();
    let request = ClientRequest::get("/long/", "long-1").header("Content-Length", &length);
    client.send(&request.bytes()).await.expect("sent");
    wait_until("the connection is forwarded", || {
        let log = fleet.routers[0].log_text();
        log.matches(forwarded).count() > forwarded_before
    })
    .await;
    fleet.routers[1].freeze();
    let answer = timeout(
        PATIENCE,
        client.answer_while_sending(&vec![b'x'; LONG_BODY_BYTES]),
    )
    .await
    .expect("an answer while the neighbour is suspended");
    assert!(has_outcome_unknown(&answer), "{answer:?}");
}

/// An answer that has begun is not cut: the neighbour delivers the rest when it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_neighbour_is_suspended_for_a_while_is_delivered_whole() {
    let (fleet, replica) = forwarding_fleet().await;
    replica.set_default_answer(ReplicaAnswer::Events {
        last: 8,
        pause: Duration::from_millis(100),
    });
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("connected");
    let request = ClientRequest::post("/chat/", "stream-1", "prompt");
    client.send(&request.bytes()).await.expect("sent");
    assert!(client.wait_for("piece 2").await);
    fleet.routers[1].freeze();
    // Longer than a router waits for an answer that has not begun.
    tokio::time::sleep(Duration::from_secs(4)).await;
    fleet.routers[1].thaw();
    let answer = answer_to(&mut client).await;
    assert!(answer.status == 200 && answer.is_complete, "{answer:?}");
    assert!(answer.text().contains("piece 8"));
}
