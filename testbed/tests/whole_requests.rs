//! Requests that are whole, and unusual in some other way, get an answer that their caller can
//! read, and so does the next request on the same connection.

use {
    archmast_testbed::{
        direct::{
            Client, ClientRequest, ConfigText, DirectFleet, Replica, ReplicaAnswer, RouteText,
        },
        fleet::wait_until_async,
    },
    serde_json::json,
    std::time::Duration,
};

/// Rest between the pieces of a body: longer than a router takes to refuse a request by its head.
const PIECE_REST: Duration = Duration::from_millis(100);

/// Backoff that a replica asks for while it refuses all requests.
const BACKOFF_SECONDS: f64 = 0.2;

/// Requests of each account meanwhile.
const REFUSED_REQUESTS: usize = 15;

/// More than a router reads of a connection at once.
const LARGE_BODY: usize = 60 << 10;

async fn fleet() -> (DirectFleet, [Replica; 2]) {
    let read = RouteText::new("/read/", "s", "idempotent");
    DirectFleet::with_two_replicas(ReplicaAnswer::ok("whole"), &[read]).await
}

/// Guards against a connection that closes without an answer, as the task that serves it panicked.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_deadline_is_no_number_is_answered() {
    let (fleet, _replicas) = fleet().await;
    for deadline in ["nan", "NaN", "inf", "-inf", "-1", "1e400", "", "4 s"] {
        let request = ClientRequest::post("/read/", deadline, "{}");
        let request = request.header("Archmast-Deadline-Ms", deadline);
        let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
        assert!(answer.status != 0 && answer.is_complete, "{deadline}");
    }
}

/// Guards against a panic under the lock of the shares, after which no request was answered.
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_token_are_answered_after_nearly_all_were_refused() {
    let fleet = DirectFleet::start(1, "").await;
    let replica = fleet
        .start_replica("i-a", "s", ReplicaAnswer::ok("whole"))
        .await;
    let read = RouteText::new("/read/", "s", "idempotent");
    let mut config = ConfigText {
        service_fields: json!({"engine": {"slots": 8, "kv_capacity_tokens": 100_000}}),
        ..ConfigText::new(1, &[read])
    }
    .to_json();
    config["tenants"] = json!([
        {"name": "lot", "api_keys": ["key-1"]},
        {"name": "lot-2", "api_keys": ["key-2"]},
    ]);
    fleet
        .store
        .put_bytes("op/config", config.to_string().as_bytes());
    fleet.wait_until_served(0, "/read/", 200).await;
    let ask = async |id: &str, key: &str| {
        let request = ClientRequest::post("/read/", id, "{}")
            .header("Archmast-Credential", key)
            .header("Archmast-Prefix-Hash", "ab:1")
            .header("Archmast-Token-Count", "1,0");
        Client::call_once(fleet.caller_addresses[0], &request).await
    };
    assert!(ask("first", "key-1").await.is_whole_success());
    replica.set_backoff(Some(BACKOFF_SECONDS));
    for number in 0..REFUSED_REQUESTS {
        for key in ["key-1", "key-2"] {
            let answer = ask(&format!("{key}-{number}"), key).await;
            let is_refusal = [429, 503].contains(&answer.status);
            assert!(is_refusal && answer.is_complete, "{number}: {answer:?}");
        }
    }
    replica.set_backoff(None);
    wait_until_async("the replica is used again", async || {
        ask("last", "key-1").await.is_whole_success()
    })
    .await;
}

/// Guards against a connection that closes unannounced, as the refused request's body was still on
/// the way.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_refusal_by_the_head_the_connection_carries_the_next_request() {
    let (fleet, _replicas) = fleet().await;
    let body = "x".repeat(LARGE_BODY);
    for (number, first_piece) in [300, 4_000, 20_000, 50_000].into_iter().enumerate() {
        let mut client = Client::connect(fleet.caller_addresses[0])
            .await
            .expect("a connection");
        let refused = ClientRequest::post("/gone/", &format!("refused-{number}"), &body).bytes();
        let (first, rest) = refused.split_at(first_piece);
        client.send(first).await.expect("sent");
        assert!(client.wait_for("404").await, "{first_piece}");
        tokio::time::sleep(PIECE_REST).await;
        let sent = client.send(rest).await;
        let answer = client.answer().await;
        assert!(answer.status == 404 && answer.is_complete);
        assert_eq!(answer.header("connection"), "");
        assert!(sent.is_ok(), "{first_piece}: {sent:?}");
        let next = ClientRequest::post("/read/", &format!("next-{number}"), "{}");
        let answer = client.call(&next).await;
        assert!(answer.is_whole_success(), "{first_piece}: {answer:?}");
    }
}

/// Guards against taking the next request on a connection for a body that its caller did not send.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_of_a_body_that_awaits_100_continue_announces_the_close() {
    let (fleet, _replicas) = fleet().await;
    let request = ClientRequest::post("/gone/", "refused", "{}").header("Expect", "100-continue");
    let bytes = request.bytes();
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("a connection");
    client.send(&bytes[..bytes.len() - 2]).await.expect("sent");
    let answer = client.answer().await;
    assert!(answer.status == 404 && answer.is_complete);
    assert_eq!(answer.header("connection"), "close");
    assert!(client.is_closed_by_router().await);
}

/// Guards against refusing, on connections that are older than a configuration, heads that it
/// allows.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_a_new_configuration_allows_is_read_on_an_older_connection() {
    const LARGE_HEAD: usize = 40 << 10;
    let (fleet, _replicas) = fleet().await;
    let mut older = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("a connection");
    let plain = ClientRequest::post("/read/", "before", "{}");
    assert!(older.call(&plain).await.is_whole_success());
    let read = RouteText::new("/read/", "s", "idempotent");
    let mut config = ConfigText::new(2, &[read]).to_json();
    config["limits"]["max_header_bytes"] = json!(64 << 10);
    fleet
        .store
        .put_bytes("op/config", config.to_string().as_bytes());
    let large = |id: &str| {
        ClientRequest::post("/read/", id, "{}").header("X-Large", &"x".repeat(LARGE_HEAD))
    };
    wait_until_async("the new limit is in force", async || {
        Client::call_once(fleet.caller_addresses[0], &large("probe"))
            .await
            .is_whole_success()
    })
    .await;
    let answer = older.call(&large("after")).await;
    assert!(answer.is_whole_success(), "{answer:?}");
}
