//! The rest of a body whose request was refused is part of that request, whatever happens on the
//! connection meanwhile: it is never read as another request.

use {
    archmast_testbed::{
        direct::{
            Client, ClientRequest, ConfigText, DirectFleet, Replica, ReplicaAnswer, RouteText,
        },
        fleet::{wait_until, wait_until_async},
    },
    std::time::Duration,
};

/// The text of a request in the rest of a refused body.
const WITHIN: &str = "within";

/// Longer than a connection at rest stays open while too many are.
const PAUSE: Duration = Duration::from_millis(700);

/// A client whose request is refused by its head, with most of its body still to come.
struct Refused {
    client: Client,
    rest: Vec<u8>,
}

impl Refused {
    /// Sends the head and the first bytes of the body, and reads the refusal.
    async fn start(
        fleet: &DirectFleet,
        path: &str,
        status: &str,
    ) -> Self {
        let within = ClientRequest::post("/plain/", WITHIN, "{}").bytes();
        let body = [vec![b'x'; 100], within.repeat(3)].concat();
        let text = String::from_utf8(body).expect("text");
        let request = ClientRequest::post(path, "refused", &text).bytes();
        let head_end = request.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        let (sent, rest) = request.split_at(head_end.expect("a head") + 4 + 100);
        wait_until_async("the router accepts connections", async || {
            Client::connect(fleet.caller_addresses[0]).await.is_ok()
        })
        .await;
        let mut client = Client::connect(fleet.caller_addresses[0])
            .await
            .expect("connects");
        client.send(sent).await.expect("is sent");
        assert!(client.wait_for(status).await, "the request is refused");
        let rest = rest.to_vec();
        Self { client, rest }
    }

    /// Sends the rest of the body, unless the router has closed the connection.
    async fn send_rest(&mut self) {
        if let Err(error) = self.client.send(&self.rest).await {
            log::debug!("the connection is closed: {error}");
        }
    }
}

async fn start(settings: &str) -> (DirectFleet, Replica) {
    let fleet = DirectFleet::start(1, settings).await;
    let replica = fleet
        .start_replica("i-a", "s", ReplicaAnswer::ok("answer"))
        .await;
    (fleet, replica)
}

async fn publish(
    fleet: &DirectFleet,
    version: u64,
    max_head: usize,
) {
    let routes = [RouteText::new("/plain/", "s", "non_idempotent")];
    fleet.store.publish_config(&ConfigText {
        max_head,
        ..ConfigText::new(version, &routes)
    });
    let accepted = format!("configuration {version} in force");
    wait_until("the configuration is in force", || {
        is_in_force(fleet, &accepted)
    })
    .await;
}

fn is_in_force(
    fleet: &DirectFleet,
    accepted: &str,
) -> bool {
    fleet.routers[0].log_text().contains(accepted)
}

/// No replica has run a request of the rest, after the router had the time to read it.
async fn assert_not_run(
    fleet: &DirectFleet,
    replica: &Replica,
) {
    tokio::time::sleep(PAUSE).await;
    if fleet.is_ready(0).await {
        fleet.wait_until_served(0, "/plain/", 200).await;
    }
    let received = replica.received();
    let run = received
        .iter()
        .filter(|request| request.attempt_id() == WITHIN);
    assert_eq!(run.count(), 0, "part of a body was run as a request");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_rest_of_a_body_is_no_request_after_longer_heads_are_allowed() {
    let (fleet, replica) = start("").await;
    publish(&fleet, 1, 8 << 10).await;
    fleet.wait_until_served(0, "/plain/", 200).await;
    let mut refused = Refused::start(&fleet, "/nowhere/", "404").await;
    publish(&fleet, 2, 64 << 10).await;
    tokio::time::sleep(PAUSE).await;
    refused.send_rest().await;
    assert_not_run(&fleet, &replica).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_rest_of_a_body_is_no_request_after_the_first_configuration() {
    let (fleet, replica) = start("").await;
    let mut refused = Refused::start(&fleet, "/plain/", "503").await;
    publish(&fleet, 1, 64 << 10).await;
    fleet.wait_until_served(0, "/plain/", 200).await;
    tokio::time::sleep(PAUSE).await;
    refused.send_rest().await;
    assert_not_run(&fleet, &replica).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_rest_of_a_body_is_no_request_while_too_many_connections_are_open() {
    let (fleet, replica) = start("max_connections = 2\n").await;
    publish(&fleet, 1, 8 << 10).await;
    fleet.wait_until_served(0, "/plain/", 200).await;
    let mut refused = Refused::start(&fleet, "/nowhere/", "404").await;
    let mut crowd = Vec::new();
    for number in 0..20 {
        let mut client = Client::connect(fleet.caller_addresses[0])
            .await
            .expect("connects");
        let head = ClientRequest::post("/plain/", &format!("crowd-{number}"), "");
        let head = head.header("Content-Length", "10");
        client.send(&head.bytes()).await.expect("is sent");
        crowd.push(client);
    }
    // In small pieces, so that some come whenever the router looks at the connection.
    for piece in refused.rest.clone().chunks(40) {
        if refused.client.send(piece).await.is_err() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    tokio::time::sleep(PAUSE).await;
    refused.send_rest().await;
    drop(crowd);
    assert_not_run(&fleet, &replica).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_rest_of_a_body_is_no_request_while_the_router_stops() {
    let (fleet, replica) = start("").await;
    publish(&fleet, 1, 8 << 10).await;
    fleet.wait_until_served(0, "/plain/", 200).await;
    let mut refused = Vec::new();
    for _ in 0..10 {
        refused.push(Refused::start(&fleet, "/nowhere/", "404").await);
    }
    fleet.routers[0].terminate();
    wait_until("the router stops", || {
        fleet.routers[0]
            .log_text()
            .contains("not ready from now on")
    })
    .await;
    // At different times, as the router looks at connections now and then.
    for one in &mut refused {
        let half = one.rest.len() / 2;
        if one.client.send(&one.rest[..half]).await.is_ok() {
            one.rest.drain(..half);
        }
        tokio::time::sleep(Duration::from_millis(130)).await;
        one.send_rest().await;
    }
    assert_not_run(&fleet, &replica).await;
}
