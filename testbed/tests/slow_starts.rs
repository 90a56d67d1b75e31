//! A replica in its slow start gets at most four requests a second from all routers together.
//! Without a limit across routers, 95 reached it from six routers in one second.

use {
    archmast_testbed::{
        direct::{
            Client, ClientRequest, DirectFleet, ReceivedRequest, Replica, ReplicaAnswer, RouteText,
            StoreMode,
        },
        fleet::{wait_until, wait_until_async},
        proxy::TcpProxy,
    },
    std::time::{Duration, Instant},
};

/// Requests a second allowed to a replica in its slow start, by the configuration.
const PER_SECOND: usize = 4;

/// Requests of each caller; each router has one caller.
const REQUESTS_PER_CALLER: usize = 150;

fn route() -> RouteText {
    RouteText::new("/first/", "s", "idempotent")
}

/// Two routers in each of three zones, with a replica in each.
async fn fleet() -> (DirectFleet, Vec<Replica>) {
    let fleet = DirectFleet::start_in_zones(&[2, 2, 2], "").await;
    let mut replicas = Vec::new();
    for (id, zone) in [("i-a", "z"), ("i-b", "z-1"), ("i-c", "z-2")] {
        let replica = Replica::start(fleet.standins(), id, ReplicaAnswer::ok(id)).await;
        fleet
            .store
            .list_replica_in(zone, id, "s", replica.address, "ready");
        replicas.push(replica);
    }
    fleet
        .store
        .publish_slow_starts(1, &[route()], PER_SECOND as f64);
    fleet.wait_until_ready().await;
    (fleet, replicas)
}

/// Each caller sends its requests one after the other.
async fn load(fleet: &DirectFleet) {
    let callers = fleet.caller_addresses.iter().map(|callers| {
        let callers = *callers;
        tokio::spawn(async move {
            for number in 0..REQUESTS_PER_CALLER {
                let request = ClientRequest::get("/first/", &format!("r-{number}"));
                Client::call_once(callers, &request).await;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    for caller in callers {
        caller.await.expect("a caller");
    }
}

/// Largest number of a replica's requests that arrived within one second.
fn max_in_a_second(seen: &[ReceivedRequest]) -> usize {
    let mut arrived: Vec<_> = seen.iter().map(|seen| seen.arrived).collect();
    arrived.sort();
    let counts = arrived.iter().enumerate().map(|(last, end)| {
        let within = |at: &&std::time::Instant| end.duration_since(**at) < Duration::from_secs(1);
        arrived[..=last].iter().filter(within).count()
    });
    counts.max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_in_slow_start_gets_no_more_than_its_limit_from_all_routers() {
    let (fleet, _replicas) = fleet().await;
    let starts = Replica::start(fleet.standins(), "i-a-new", ReplicaAnswer::ok("i-a-new")).await;
    fleet
        .store
        .list_slow("z-1", "i-a-new", "s", starts.address, 600_000);
    // It becomes the only replica of its zone, which the routers of that zone prefer.
    fleet.store.remove_replica("i-b");
    load(&fleet).await;
    assert!(max_in_a_second(&starts.received()) <= PER_SECOND);
    wait_until_async("the replica in slow start is used", async || {
        load(&fleet).await;
        !starts.received().is_empty()
    })
    .await;
    assert!(max_in_a_second(&starts.received()) <= PER_SECOND);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_in_a_second_slow_start_is_limited_and_then_used_in_full() {
    let (fleet, replicas) = fleet().await;
    load(&fleet).await;
    let slow = &replicas[1];
    for id in ["i-a", "i-c"] {
        fleet.store.remove_replica(id);
    }
    fleet
        .store
        .list_slow("z-1", "i-b", "s", slow.address, 600_000);
    // No other replica is left, so that requests over its limit are refused.
    wait_until_async("requests are refused", async || {
        let mut refused = 0;
        for callers in &fleet.caller_addresses {
            let answer = Client::call_once(*callers, &ClientRequest::get("/first/", "probe")).await;
            refused += usize::from(answer.code() == Some(66));
        }
        refused == fleet.caller_addresses.len()
    })
    .await;
    let before = slow.received().len();
    load(&fleet).await;
    let seen = slow.received();
    let since = &seen[before..];
    let span = since.last().map_or(Duration::ZERO, |last| {
        last.arrived.duration_since(since[0].arrived)
    });
    assert!(since.len() as f64 <= PER_SECOND as f64 * (span.as_secs_f64() + 1.0));
    fleet
        .store
        .list_replica_in("z-1", "i-b", "s", slow.address, "ready");
    for router in 0..6 {
        fleet.wait_until_served(router, "/first/", 200).await;
    }
    let before = slow.received().len();
    load(&fleet).await;
    assert_eq!(slow.received().len() - before, 6 * REQUESTS_PER_CALLER);
}

/// Two routers and two replicas of one zone, one behind a proxy. The store answers nobody, and the
/// replica behind the proxy is unreachable.
async fn fleet_without_store() -> (DirectFleet, [Replica; 2], TcpProxy) {
    let fleet = DirectFleet::start(2, "").await;
    let ip = fleet.standins();
    let away = Replica::start(ip, "i-away", ReplicaAnswer::ok("away")).await;
    let proxy = TcpProxy::start(ip, away.address).await.expect("a port");
    fleet
        .store
        .list_replica("i-away", "s", proxy.address, "ready");
    let stays = fleet
        .start_replica("i-stays", "s", ReplicaAnswer::ok("stays"))
        .await;
    fleet
        .store
        .publish_slow_starts(1, &[route()], PER_SECOND as f64);
    fleet.wait_until_ready().await;
    wait_until_async("the replica is used by both routers", async || {
        load(&fleet).await;
        (0..2).all(|router| fleet.routers[router].log_text().contains("i-away"))
    })
    .await;
    for port in &fleet.store_ports {
        port.set_mode(StoreMode::Silent);
    }
    for router in &fleet.routers {
        wait_until("the router notices that the store is silent", || {
            router.log_text().contains("store does not answer")
        })
        .await;
    }
    proxy.update_faults(|faults| faults.blocked = true);
    proxy.close_connections();
    load(&fleet).await;
    (fleet, [away, stays], proxy)
}

/// Guards against full load on a replica that restarted while the store was silent: 13 and 61
/// requests reached such replicas in a second, where 6 are allowed.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_returns_slowly_while_the_store_is_silent_gets_no_more_than_its_limit() {
    let (fleet, [away, stays], proxy) = fleet_without_store().await;
    let before = away.received().len();
    away.set_slow_until(Instant::now() + Duration::from_secs(600));
    proxy.update_faults(|faults| faults.blocked = false);
    // No other replica takes requests.
    stays.set_backoff(Some(600.0));
    wait_until_async("the replica is used again", async || {
        load(&fleet).await;
        away.received().len() > before
    })
    .await;
    load(&fleet).await;
    let since = away.received().split_off(before);
    assert!(max_in_a_second(&since) <= PER_SECOND, "{}", since.len());
}

/// Guards against a router that has just started and got no answer of the store: it took the list
/// that a peer told it for confirmed.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_starts_while_the_store_is_silent_limits_a_replica_that_returns_slowly() {
    let (mut fleet, [away, stays], proxy) = fleet_without_store().await;
    let before = away.received().len();
    fleet.routers[0].kill();
    away.set_slow_until(Instant::now() + Duration::from_secs(600));
    proxy.update_faults(|faults| faults.blocked = false);
    stays.set_backoff(Some(600.0));
    fleet.routers[0].restart().expect("it starts again");
    wait_until_async("router 0 is ready", async || fleet.is_ready(0).await).await;
    load(&fleet).await;
    let since = away.received().split_off(before);
    assert!(max_in_a_second(&since) <= PER_SECOND, "{}", since.len());
}

/// Connections that were lost for another reason do not keep a replica out of use.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_did_not_restart_is_used_in_full_though_the_store_is_silent() {
    let (fleet, [away, stays], proxy) = fleet_without_store().await;
    let before = away.received().len();
    proxy.update_faults(|faults| faults.blocked = false);
    // No other replica takes requests.
    stays.set_backoff(Some(600.0));
    wait_until_async(
        "the replica is used beyond the limit of a slow start",
        async || {
            load(&fleet).await;
            max_in_a_second(&away.received().split_off(before)) > PER_SECOND
        },
    )
    .await;
}
