//! Fleets of routers that send requests to replicas themselves, without sidecars (the direct
//! form). Changes of the configuration, the list of replicas and the settings come into force,
//! also while the store fails and routers restart; a planned stop cuts nothing.

use {
    archmast_testbed::{
        direct::{
            Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText, StoreMode,
        },
        fleet::{wait_until, wait_until_async},
    },
    std::{fmt::Write, time::Duration},
};

fn route(prefix: &'static str) -> RouteText {
    RouteText::new(prefix, "s", "idempotent")
}

async fn status(
    fleet: &DirectFleet,
    router: usize,
    path: &str,
) -> u16 {
    let request = ClientRequest::get(path, "probe");
    Client::call_once(fleet.caller_addresses[router], &request)
        .await
        .status
}

async fn fleet_of(count: usize) -> (DirectFleet, Replica) {
    let fleet = DirectFleet::start(count, "").await;
    let replica = fleet
        .start_replica("i-a", "s", ReplicaAnswer::ok("a"))
        .await;
    fleet.store.publish(1, &[route("/first/")]);
    fleet.wait_until_ready().await;
    (fleet, replica)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_without_a_configuration_is_not_ready_and_answers_503() {
    let fleet = DirectFleet::start(1, "").await;
    wait_until_async("the router listens", async || {
        status(&fleet, 0, "/first/").await != 0
    })
    .await;
    let answer = Client::call_once(
        fleet.caller_addresses[0],
        &ClientRequest::get("/first/", "x"),
    )
    .await;
    assert_eq!((answer.status, answer.code()), (503, Some(25)));
    assert!(!fleet.is_ready(0).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn new_routes_and_keys_replace_the_old_ones() {
    let (fleet, _replica) = fleet_of(2).await;
    fleet
        .store
        .publish_with_keys(4, &[route("/second/")], &["key-1", "key-2"]);
    for router in 0..2 {
        fleet.wait_until_served(router, "/second/", 200).await;
        assert_eq!(status(&fleet, router, "/first/").await, 404);
    }
    fleet
        .store
        .publish_with_keys(5, &[route("/second/")], &["key-2"]);
    for router in 0..2 {
        fleet.wait_until_served(router, "/second/", 401).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_cannot_read_the_store_gets_changes_from_its_peers() {
    for mode in [StoreMode::Busy, StoreMode::Many, StoreMode::Silent] {
        let (fleet, replica) = fleet_of(2).await;
        fleet.store_ports[1].set_mode(mode);
        fleet.store.publish(7, &[route("/second/")]);
        fleet.wait_until_served(1, "/second/", 200).await;
        fleet
            .store
            .list_replica("i-a", "s", replica.address, "draining");
        fleet.wait_until_served(1, "/second/", 503).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_restarts_without_the_store_gets_its_state_from_peers() {
    let (mut fleet, _replica) = fleet_of(2).await;
    fleet.store_ports[1].set_mode(StoreMode::Silent);
    fleet.routers[1].kill();
    fleet.store.publish(9, &[route("/second/")]);
    fleet.wait_until_served(0, "/second/", 200).await;
    fleet.routers[1].restart().expect("it starts again");
    wait_until_async("router 1 is ready", async || fleet.is_ready(1).await).await;
    fleet.wait_until_served(1, "/second/", 200).await;
    assert_eq!(status(&fleet, 1, "/first/").await, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_without_its_history_is_read_again_in_full() {
    let (fleet, replica) = fleet_of(1).await;
    fleet.store_ports[0].set_mode(StoreMode::Busy);
    fleet.store.remove_replica("i-a");
    fleet.store.publish(3, &[route("/second/")]);
    fleet.store.compact();
    fleet.store_ports[0].set_mode(StoreMode::Well);
    fleet.wait_until_served(0, "/second/", 503).await;
    fleet
        .store
        .list_replica("i-b", "s", replica.address, "ready");
    replica.set_id("i-b");
    fleet.wait_until_served(0, "/second/", 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_drains_or_is_gone_gets_nothing_more() {
    let (fleet, first) = fleet_of(2).await;
    let second = fleet
        .start_replica("i-b", "s", ReplicaAnswer::ok("b"))
        .await;
    let answering_replica = async |router: usize| {
        let request = ClientRequest::get("/first/", "probe");
        Client::call_once(fleet.caller_addresses[router], &request)
            .await
            .text()
    };
    fleet
        .store
        .list_replica("i-a", "s", first.address, "draining");
    for router in 0..2 {
        wait_until_async("the second serves", async || {
            answering_replica(router).await == "b"
        })
        .await;
    }
    let before = first.received().len();
    for router in 0..2 {
        for _ in 0..20 {
            assert_eq!(answering_replica(router).await, "b");
        }
    }
    assert_eq!(first.received().len(), before);
    wait_until("connections to an unlisted replica are closed", || {
        fleet.store.remove_replica("i-a");
        first.open_connections() == 0
    })
    .await;
    drop(second);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing() {
    let (mut fleet, replica) = fleet_of(1).await;
    let slow = ReplicaAnswer::Slow {
        body: "late".to_owned(),
        after: Duration::from_millis(1500),
    };
    replica.set_default_answer(slow);
    fleet
        .store
        .publish(2, &[RouteText::new("/slow/", "s", "non_idempotent")]);
    fleet.wait_until_served(0, "/slow/", 200).await;
    let mut persistent = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("a connection");
    assert_eq!(
        persistent
            .call(&ClientRequest::get("/slow/", "k-1"))
            .await
            .status,
        200
    );
    let mut busy = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("a connection");
    let request = ClientRequest::get("/slow/", "b-1");
    busy.send(&request.bytes()).await.expect("sent");
    let held = || {
        replica
            .received()
            .iter()
            .any(|request| request.attempt_id() == "b-1")
    };
    wait_until("the request is at the replica", held).await;
    fleet.routers[0].terminate();
    wait_until_async("router not ready", async || !fleet.is_ready(0).await).await;
    replica.push_answer(ReplicaAnswer::ok("a"));
    // A connection that was open before still serves, and its answer asks to close it.
    let answer = persistent.call(&ClientRequest::get("/slow/", "k-2")).await;
    assert_eq!((answer.status, answer.header("connection")), (200, "close"));
    // A request that is too late to finish is refused at once, as not run.
    let refused = async || {
        let late = ClientRequest::get("/nowhere/", "late");
        let answer = Client::call_once(fleet.caller_addresses[0], &late).await;
        (answer.status, answer.code()) == (503, Some(39))
    };
    wait_until_async("late requests are refused", refused).await;
    let answer = busy.answer().await;
    assert!(answer.status == 200 && answer.is_complete);
    wait_until("the router exits", || {
        fleet.routers[0].exit_status().is_some()
    })
    .await;
    assert!(
        fleet.routers[0]
            .exit_status()
            .is_some_and(|status| status.success())
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn changed_settings_come_into_force_with_and_without_a_signal() {
    let (mut fleet, _replica) = fleet_of(1).await;
    let path = fleet.settings[0].clone();
    let mut text = std::fs::read_to_string(&path).expect("settings");
    fleet.routers[0].signal_reload();
    wait_until("the router reads its settings again", || {
        fleet.routers[0]
            .log_text()
            .contains("settings in force again")
    })
    .await;
    writeln!(text, "[shares]\nwindow = 7 s").expect("text");
    std::fs::write(&path, &text).expect("settings are written");
    wait_until("the router applies the change", || {
        fleet.routers[0]
            .log_text()
            .matches("settings in force again")
            .count()
            >= 2
    })
    .await;
    writeln!(text, "unknown = 1").expect("text");
    std::fs::write(&path, &text).expect("settings are written");
    wait_until("the router refuses an invalid file", || {
        fleet.routers[0].log_text().contains("settings refused")
    })
    .await;
    assert!(fleet.routers[0].exit_status().is_none());
    assert_eq!(status(&fleet, 0, "/first/").await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_at_rest_are_closed_when_there_are_too_many() {
    let fleet = DirectFleet::start(1, "max_connections = 10\n").await;
    let _replica = fleet
        .start_replica("i-a", "s", ReplicaAnswer::ok("a"))
        .await;
    fleet.store.publish(1, &[route("/first/")]);
    fleet.wait_until_ready().await;
    let mut clients = Vec::new();
    for _ in 0..30 {
        let mut client = Client::connect(fleet.caller_addresses[0])
            .await
            .expect("a connection");
        let answer = client.call(&ClientRequest::get("/first/", "x")).await;
        assert_eq!(answer.status, 200);
        clients.push(client);
    }
    // Ten stay open; the others are closed, each between two requests.
    let mut ended = 0;
    for mut client in clients.drain(..20) {
        if client.is_closed_by_router().await {
            ended += 1;
        }
    }
    assert_eq!(ended, 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_find_each_other_through_one_seed() {
    let (fleet, _replica) = fleet_of(3).await;
    for router in &fleet.routers {
        wait_until("the router knows both others", || {
            router.log_text().matches("router heard of").count() >= 2
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_of_five_routers_read_the_store_and_others_when_these_cannot() {
    let fleet = DirectFleet::start(5, "").await;
    let replica = fleet
        .start_replica("i-a", "s", ReplicaAnswer::ok("a"))
        .await;
    fleet
        .store
        .publish(1, &[RouteText::new("/one/", "s", "idempotent")]);
    fleet.wait_until_ready().await;
    let reads = |router: usize| {
        let log = fleet.routers[router].log_text();
        let mut role_changes = log
            .lines()
            .filter(|line| line.contains("the store is read here"));
        let last = role_changes
            .next_back()
            .map(|line| line.contains(r#""reads":"false""#));
        last != Some(true)
    };
    let readers = || (0..5).filter(|router| reads(*router)).collect::<Vec<_>>();
    wait_until("two of them read", || readers().len() == 2).await;
    let first = readers();
    for reader in &first {
        fleet.store_ports[*reader].set_mode(StoreMode::Silent);
    }
    let routes = ["/one/", "/two/"].map(|path| RouteText::new(path, "s", "idempotent"));
    fleet.store.publish(2, &routes);
    for router in 0..5 {
        fleet.wait_until_served(router, "/two/", 200).await;
    }
    // Log lines are written with a delay, so the new route may be served before this line.
    wait_until("another reads the store", || {
        readers().iter().any(|reader| !first.contains(reader))
    })
    .await;
    drop(replica);
}
