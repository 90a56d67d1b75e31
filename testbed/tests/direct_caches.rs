//! Replicas list the parts of prompts that they have in their caches. A router that starts reads
//! the lists and sends prompts where their parts are cached; a replica that does not answer gets
//! requests all the same.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText},
        fleet::wait_until_async,
    },
    std::time::Duration,
};

/// Ids of prompt parts that one of the replicas has in its cache.
const SHARED: &[&str] = &["a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"];

fn prompt(
    shared: &str,
    own: &str,
) -> ClientRequest {
    ClientRequest::post("/events/", own, "{}")
        .header("Archmast-Prefix-Hash", &format!("{shared}:3000,{own}:100"))
        .header("Archmast-Token-Count", "3100,5")
}

/// A router with two replicas of a model; the second has all shared parts of the prompts in its
/// cache.
async fn start() -> (DirectFleet, [Replica; 2]) {
    let fleet = DirectFleet::start(1, "").await;
    let usual = ReplicaAnswer::events(3);
    let ip = fleet.standins();
    let replicas = [
        Replica::start(ip, "i-a", usual.clone()).await,
        Replica::start(ip, "i-b", usual).await,
    ];
    let cached: Vec<(&str, u32)> = SHARED.iter().map(|id| (*id, 3000)).collect();
    replicas[1].set_cached_parts(&cached);
    let routes = [RouteText::new("/events/", "s", "streaming")];
    fleet.store.publish_engines(1, &routes);
    for replica in &replicas {
        fleet
            .store
            .list_replica(&replica.id, "s", replica.address, "ready");
    }
    fleet.wait_until_ready().await;
    (fleet, replicas)
}

async fn until_logged(
    fleet: &DirectFleet,
    text: &str,
    times: usize,
) {
    wait_until_async(text, async || {
        fleet.routers[0].log_text().matches(text).count() >= times
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_starts_learns_what_replicas_keep() {
    let (fleet, replicas) = start().await;
    until_logged(&fleet, "replica asked what it keeps", 2).await;
    for (index, shared) in SHARED.iter().enumerate() {
        let own = format!("b{index}");
        let answer = Client::call_once(fleet.caller_addresses[0], &prompt(shared, &own)).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(replicas[0].received().len(), 0);
    assert_eq!(replicas[1].received().len(), SHARED.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_does_not_list_its_cached_parts_gets_requests_all_the_same() {
    let fleet = DirectFleet::start(1, "").await;
    let silent = Replica::start(fleet.standins(), "i-a", ReplicaAnswer::events(3)).await;
    silent.set_list_delay(Duration::from_secs(3600));
    fleet
        .store
        .publish_engines(1, &[RouteText::new("/events/", "s", "streaming")]);
    fleet
        .store
        .list_replica("i-a", "s", silent.address, "ready");
    fleet.wait_until_ready().await;
    let answer = Client::call_once(fleet.caller_addresses[0], &prompt("a1", "b1")).await;
    assert_eq!(answer.status, 200);
    until_logged(&fleet, "replica did not say what it keeps", 1).await;
}
