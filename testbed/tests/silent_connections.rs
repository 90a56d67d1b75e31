//! Established connections that carry nothing more, without a reset, while new ones work. A
//! silent connection is replaced by a new one, not by another old one from the pool; idempotent
//! requests are still answered, and streams are resumed.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText, event},
        fleet::wait_until,
        proxy::TcpProxy,
    },
    futures::future::join_all,
    std::time::Duration,
};

/// Idle connections in the pool of the router when they fall silent.
const IDLE_CONNECTIONS: usize = 4;

/// Longer than a connection is idle on which a request is sent that may run only once.
const LONG_IDLE: Duration = Duration::from_millis(1500);

/// A router with one replica, which it reaches through a proxy.
async fn fleet_behind_proxy() -> (DirectFleet, Replica, TcpProxy) {
    let fleet = DirectFleet::start(1, "").await;
    let slow = ReplicaAnswer::Slow {
        body: "answer".to_owned(),
        after: Duration::from_millis(200),
    };
    let replica = Replica::start(fleet.standins(), "i-a", slow).await;
    let proxy = TcpProxy::start(fleet.standins(), replica.address)
        .await
        .expect("a free port");
    fleet.store.list_replica("i-a", "s", proxy.address, "ready");
    let hasty = RouteText {
        timeout_ms: 600,
        ..RouteText::new("/hasty/", "s", "non_idempotent")
    };
    let charge = RouteText::new("/charge/", "s", "non_idempotent");
    fleet.store.publish(1, &[hasty, charge]);
    fleet.wait_until_ready().await;
    wait_until("the replica is known", || {
        fleet.routers[0].log_text().contains("upstream Ready")
    })
    .await;
    (fleet, replica, proxy)
}

async fn ask(
    fleet: &DirectFleet,
    path: &str,
    id: &str,
) -> u16 {
    let request = ClientRequest::post(path, id, "{}");
    Client::call_once(fleet.caller_addresses[0], &request)
        .await
        .status
}

/// Guards against sending a request on a pooled connection after another one to the same
/// replica has fallen silent: it would get no answer either.
#[tokio::test(flavor = "multi_thread")]
async fn after_one_silent_connection_to_a_replica_the_others_are_not_used() {
    let (fleet, _replica, proxy) = fleet_behind_proxy().await;
    let asked =
        (0..IDLE_CONNECTIONS).map(async |n| ask(&fleet, "/charge/", &format!("first-{n}")).await);
    let statuses = join_all(asked).await;
    assert_eq!(statuses, [200; IDLE_CONNECTIONS]);
    proxy.stall_connections();
    assert_ne!(ask(&fleet, "/hasty/", "silent").await, 200);
    assert_eq!(ask(&fleet, "/charge/", "after").await, 200);
}

/// Guards against losing a request that may run only once on a connection that fell silent while
/// nothing was sent there: it was answered with 504 after its whole deadline, and had not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_run_once_is_not_sent_on_a_connection_that_was_long_idle() {
    let (fleet, replica, proxy) = fleet_behind_proxy().await;
    assert_eq!(ask(&fleet, "/charge/", "before").await, 200);
    proxy.stall_connections();
    tokio::time::sleep(LONG_IDLE).await;
    assert_eq!(ask(&fleet, "/charge/", "after").await, 200);
    assert_eq!(replica.received_count("after"), 1);
    // A connection that was just used is used again.
    let opened = replica.total_connections();
    assert_eq!(ask(&fleet, "/charge/", "again").await, 200);
    assert_eq!(replica.total_connections(), opened);
}

/// A router with two replicas, which it reaches through proxies. Requests one after the other
/// go to the first replica.
async fn fleet_of_two(usual: ReplicaAnswer) -> (DirectFleet, [Replica; 2], [TcpProxy; 2]) {
    let fleet = DirectFleet::start(1, "").await;
    let behind_proxy = async |id: &str| {
        let replica = Replica::start(fleet.standins(), id, usual.clone()).await;
        let proxy = TcpProxy::start(fleet.standins(), replica.address)
            .await
            .expect("a free port");
        fleet.store.list_replica(id, "s", proxy.address, "ready");
        (replica, proxy)
    };
    let (first, first_proxy) = behind_proxy("i-a").await;
    let (other, other_proxy) = behind_proxy("i-b").await;
    let read = RouteText::new("/read/", "s", "idempotent");
    let events = RouteText::new("/events/", "s", "streaming");
    fleet.store.publish(1, &[read, events]);
    fleet.wait_until_ready().await;
    wait_until("both replicas are known", || {
        let log = fleet.routers[0].log_text();
        log.matches("upstream Ready").count() >= 2
    })
    .await;
    (fleet, [first, other], [first_proxy, other_proxy])
}

/// The caller's connection stays open, and its next request is answered as well.
#[tokio::test(flavor = "multi_thread")]
async fn a_read_on_a_silent_connection_is_answered_by_another_replica() {
    let (fleet, [first, other], [proxy, _other_proxy]) =
        fleet_of_two(ReplicaAnswer::ok("whole")).await;
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("a connection");
    let warm = client
        .call(&ClientRequest::post("/read/", "warm", "{}"))
        .await;
    assert_eq!((warm.status, first.received().len()), (200, 1));
    proxy.stall_connections();
    for id in ["on the silent one", "after it"] {
        let answer = client.call(&ClientRequest::post("/read/", id, "{}")).await;
        assert_eq!((answer.status, answer.text().as_str()), (200, "whole"));
    }
    assert!(
        other
            .received()
            .iter()
            .any(|seen| seen.attempt_id() == "on the silent one")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_connection_falls_silent_is_resumed_at_another_replica() {
    const LAST: u32 = 12;
    let slow = ReplicaAnswer::Events {
        last: LAST,
        pause: Duration::from_millis(50),
    };
    let (fleet, [_first, other], [proxy, _other_proxy]) = fleet_of_two(slow).await;
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("a connection");
    let request = ClientRequest::post("/events/", "stream", "{}");
    client.send(&request.bytes()).await.expect("sent");
    assert!(client.wait_for("piece 3").await);
    proxy.stall_connections();
    let answer = client.answer().await;
    assert!(answer.status == 200 && answer.is_complete);
    let whole: String = (1..=LAST).map(event).collect();
    assert_eq!(answer.text(), whole);
    assert_eq!(other.received().len(), 1);
}

/// The callers that hold silent connections outnumber the router's worker threads; their
/// requests on new connections are served at once.
#[tokio::test(flavor = "multi_thread")]
async fn callers_whose_connections_fell_silent_are_served_on_new_ones() {
    const CALLERS: usize = 50;
    let (fleet, _replicas, _proxies) = fleet_of_two(ReplicaAnswer::ok("whole")).await;
    let callers = TcpProxy::start(fleet.standins(), fleet.caller_addresses[0])
        .await
        .expect("a free port");
    let request = |n: usize| ClientRequest::post("/read/", &format!("r-{n}"), "{}");
    let mut held = Vec::new();
    for n in 0..CALLERS {
        let mut client = Client::connect(callers.address)
            .await
            .expect("a connection");
        assert_eq!(client.call(&request(n)).await.status, 200);
        held.push(client);
    }
    callers.stall_connections();
    for n in 0..CALLERS {
        let answer = Client::call_once(callers.address, &request(CALLERS + n)).await;
        assert_eq!(answer.status, 200);
    }
    drop(held);
}

/// Two reads wait on silent connections, one to each replica. The caller of the first
/// disconnects. The second is retried; the first, which would have been retried earlier, is not.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_repeated_for_a_caller_that_left_a_silent_connection() {
    let slow = ReplicaAnswer::Slow {
        body: "whole".to_owned(),
        after: Duration::from_millis(200),
    };
    let (fleet, replicas, proxies) = fleet_of_two(slow).await;
    let read = |id: &str| ClientRequest::post("/read/", id, "{}");
    let warm = ["warm-1", "warm-2"].map(async |id| {
        let answer = Client::call_once(fleet.caller_addresses[0], &read(id)).await;
        answer.status
    });
    assert_eq!(join_all(warm).await, [200, 200]);
    for (replica, proxy) in replicas.iter().zip(&proxies) {
        assert_eq!(replica.received().len(), 1);
        proxy.stall_connections();
    }
    let mut leaves = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("a connection");
    leaves.send(&read("left").bytes()).await.expect("sent");
    wait_until("the first waits at a replica", || {
        fleet.routers[0].log_text().contains("\"left\"")
    })
    .await;
    let mut stays = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("a connection");
    stays.send(&read("stays").bytes()).await.expect("sent");
    wait_until("the second waits at a replica", || {
        fleet.routers[0].log_text().contains("\"stays\"")
    })
    .await;
    drop(leaves);
    assert_eq!(stays.answer().await.status, 200);
    let seen = replicas.iter().flat_map(Replica::received);
    assert!(seen.clone().any(|seen| seen.attempt_id() == "stays"));
    assert_eq!(seen.filter(|seen| seen.attempt_id() == "left").count(), 0);
}

/// A read waits and a stream runs on silent connections when their router is stopped. Both
/// are answered completely before it exits.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_loses_nothing_that_waits_on_silent_connections() {
    const LAST: u32 = 12;
    let events = ReplicaAnswer::Events {
        last: LAST,
        pause: Duration::from_millis(50),
    };
    let (mut fleet, _replicas, proxies) = fleet_of_two(events).await;
    let callers = fleet.caller_addresses[0];
    let begun = async |path: &str, id: &str| {
        let mut client = Client::connect(callers).await.expect("a connection");
        let request = ClientRequest::post(path, id, "{}");
        client.send(&request.bytes()).await.expect("sent");
        client
    };
    // Afterwards the pool holds an idle connection to each replica.
    for client in join_all(["warm-1", "warm-2"].map(|id| begun("/read/", id))).await {
        let mut client = client;
        assert_eq!(client.answer().await.status, 200);
    }
    let mut stream = begun("/events/", "stream").await;
    assert!(stream.wait_for("piece 3").await);
    for proxy in &proxies {
        proxy.stall_connections();
    }
    let mut read = begun("/read/", "read").await;
    wait_until("the read waits at a replica", || {
        fleet.routers[0].log_text().contains("\"read\"")
    })
    .await;
    fleet.routers[0].terminate();
    let whole: String = (1..=LAST).map(event).collect();
    for client in [&mut stream, &mut read] {
        let answer = client.answer().await;
        assert!(answer.status == 200 && answer.is_complete, "{answer:?}");
        assert_eq!(answer.text(), whole);
    }
    wait_until("the router exits", || {
        fleet.routers[0].exit_status().is_some()
    })
    .await;
}
