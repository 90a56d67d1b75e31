//! Another writer puts entries below the replicas' keys that cannot be decoded. Guards against
//! one such entry failing the whole read or watch of the store: routers would get no more
//! configurations or changes of the list, even after its removal, and new ones would never
//! become ready.

use archmast_testbed::{
    direct::{Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText},
    fleet::wait_until_async,
};

/// Values that another writer may leave, none of which describes a replica.
fn foreign_values() -> Vec<Vec<u8>> {
    let entry = |field: &str| {
        format!(
            r#"{{"service":"s","address":"127.0.0.1:9","zone":"z","slots":4,"state":"ready",{field}}}"#
        )
    };
    let texts = [
        String::new(),
        "[]".to_owned(),
        "null".to_owned(),
        "{".to_owned(),
        "{}".to_owned(),
        entry(r#""service":"twice""#),
        entry(r#""sequence":1"#).replace("\"ready\"", "\"resting\""),
        entry(r#""sequence":1"#).replace("\"ready\"", "7"),
        entry(r#""sequence":1"#).replace("127.0.0.1:9", "127.0.0.1:0"),
        entry(r#""sequence":1"#).replace("127.0.0.1:9", "224.0.0.1:80"),
        entry(r#""sequence":1"#).replace("127.0.0.1:9", "nowhere"),
        entry(r#""sequence":1"#).replace("\"slots\":4", "\"slots\":-4"),
        entry(r#""sequence":1"#).replace("\"slots\":4", "\"slots\":1e99"),
        "[".repeat(10_000),
        "x".repeat(300_000),
    ];
    let mut all: Vec<Vec<u8>> = texts.map(String::into_bytes).into();
    all.push(b"\xff\xfe\x00 and text after them".to_vec());
    all
}

/// Keys that no replica uses.
const KEYS: [&str; 5] = [
    "servers/",
    "servers/a b&c=%d",
    "servers/i-foreign",
    "servers/\u{1}\n",
    "servers/zone/i-x",
];

fn route(prefix: &'static str) -> RouteText {
    RouteText::new(prefix, "s", "idempotent")
}

async fn answering_replica(
    fleet: &DirectFleet,
    router: usize,
) -> String {
    let request = ClientRequest::get("/first/", "probe");
    Client::call_once(fleet.caller_addresses[router], &request)
        .await
        .text()
}

/// Three routers with two replicas.
async fn fleet() -> (DirectFleet, [Replica; 2]) {
    let fleet = DirectFleet::start(3, "").await;
    let replicas = [
        fleet
            .start_replica("i-a", "s", ReplicaAnswer::ok("a"))
            .await,
        fleet
            .start_replica("i-b", "s", ReplicaAnswer::ok("b"))
            .await,
    ];
    fleet.store.publish(1, &[route("/first/")]);
    fleet.wait_until_ready().await;
    (fleet, replicas)
}

/// Publishes a configuration with one more route, and waits until all routers serve it.
async fn publish_and_check(
    fleet: &DirectFleet,
    version: u64,
    prefix: &'static str,
) {
    fleet
        .store
        .publish(version, &[route("/first/"), route(prefix)]);
    for router in 0..fleet.caller_addresses.len() {
        fleet.wait_until_served(router, prefix, 200).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_cannot_be_decoded_affects_only_itself() {
    let (fleet, _replicas) = fleet().await;
    let mut version = 1;
    for bytes in foreign_values() {
        version += 1;
        fleet.store.put_bytes("servers/i-foreign", &bytes);
        publish_and_check(&fleet, version, "/beside/").await;
        version += 1;
        fleet.store.delete("servers/i-foreign");
        publish_and_check(&fleet, version, "/after/").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_start_beside_entries_that_cannot_be_decoded() {
    let fleet = DirectFleet::start(2, "").await;
    for (number, bytes) in foreign_values().iter().enumerate() {
        fleet
            .store
            .put_bytes(&format!("servers/i-f{number}"), bytes);
    }
    for key in KEYS {
        fleet
            .store
            .put_bytes(key, br#"{"service":"s","address":"127.0.0.1:9","zone":"z","slots":4,"state":"ready","sequence":1}"#);
    }
    let _replica = fleet
        .start_replica("i-a", "s", ReplicaAnswer::ok("a"))
        .await;
    fleet.store.publish(1, &[route("/first/")]);
    fleet.wait_until_ready().await;
    for router in 0..2 {
        fleet.wait_until_served(router, "/first/", 200).await;
    }
    publish_and_check(&fleet, 2, "/second/").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_another_writer_overwrote_names_no_replica() {
    let (fleet, [overwritten, other]) = fleet().await;
    fleet.store.put_bytes("servers/i-a", b"\xff\xfe\x00");
    for router in 0..3 {
        // The other replica may serve alone before that, when it is quicker.
        wait_until_async("the router knows that the replica is gone", async || {
            let log = fleet.routers[router].log_text();
            log.contains("upstream gone")
        })
        .await;
        wait_until_async("only the other replica serves", async || {
            let mut answers = Vec::new();
            for _ in 0..8 {
                answers.push(answering_replica(&fleet, router).await);
            }
            answers.iter().all(|answer| answer == "b")
        })
        .await;
    }
    let before = overwritten.received().len();
    for _ in 0..20 {
        assert_eq!(answering_replica(&fleet, 0).await, "b");
    }
    assert_eq!(overwritten.received().len(), before);
    fleet
        .store
        .list_replica("i-a", "s", overwritten.address, "ready");
    other.set_default_answer(ReplicaAnswer::NotExecuted { status: 503 });
    wait_until_async("the replica that is listed again serves", async || {
        answering_replica(&fleet, 0).await == "a"
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_cannot_be_decoded_leaves_the_previous_one_in_force() {
    let (fleet, _replicas) = fleet().await;
    let invalid = [
        &b"\xff\xfe\x00"[..],
        b"[]",
        br#"{"version":7,"routes":[{}]}"#,
        br#"{"version":7,"routes":[{"host":"app.example","path_prefix":"/first/","kind":"idempotent","service":"s","timeout_ms":1e300}]}"#,
        br#"{"version":7,"limits":{"idle_timeout_ms":-1e300}}"#,
    ];
    for (number, bytes) in (0..).zip(invalid) {
        fleet.store.put_bytes("op/config", bytes);
        for router in 0..3 {
            assert_ne!(answering_replica(&fleet, router).await, "");
        }
        publish_and_check(&fleet, 10 + number, "/next/").await;
    }
}
