//! What routers know of the prompts that replicas keep.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText},
        fleet::wait_until_async,
    },
    std::time::Duration,
};

const SHARED: &[&str] = &["a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"];

fn prompt(
    shared: &str,
    own: &str,
) -> ClientRequest {
    ClientRequest::post("/events/", own, "{}")
        .header("Archmast-Prefix-Hash", &format!("{shared}:3000,{own}:100"))
        .header("Archmast-Token-Count", "3100,5")
}

/// A router before two model replicas, the second of which keeps all that
/// prompts share.
async fn start() -> (DirectFleet, [Replica; 2]) {
    let fleet = DirectFleet::start(1, "").await;
    let usual = ReplicaAnswer::events(3);
    let ip = fleet.standins();
    let replicas = [
        Replica::start(ip, "i-a", usual.clone()).await,
        Replica::start(ip, "i-b", usual).await,
    ];
    let kept: Vec<(&str, u32)> = SHARED.iter().map(|id| (*id, 3000)).collect();
    replicas[1].set_cached_parts(&kept);
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
async fn a_replica_that_does_not_say_what_it_keeps_is_served_all_the_same() {
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
