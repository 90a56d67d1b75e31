//! A replica in its slow start gets at most four requests a second from all routers together.
//! Without a limit across routers, 95 reached it from six routers in one second.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText},
        fleet::wait_until_async,
    },
    std::time::Duration,
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

/// Largest number of requests that a replica received within one second.
fn max_in_a_second(replica: &Replica) -> usize {
    let seen = replica.received();
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
    assert!(max_in_a_second(&starts) <= PER_SECOND);
    wait_until_async("the replica in slow start is used", async || {
        load(&fleet).await;
        !starts.received().is_empty()
    })
    .await;
    assert!(max_in_a_second(&starts) <= PER_SECOND);
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
