//! Routers follow the cache events of replicas: when the router that follows a replica is killed,
//! another one takes over, and a part that the replica evicts counts as prefill again. A replica
//! without cache events is used all the same.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText},
        fleet::wait_until_async,
    },
    std::{collections::HashMap, ops::Range},
};

const FOLLOWS_LOG: &str = "following what a replica keeps";

/// Log field of a request of which only its own part is estimated to need prefill.
const PREFILLS_OWN_PART: &str = "\"reading_tokens\":100,";

fn prompt(shared: u32) -> ClientRequest {
    let own = format!("b{shared:x}");
    ClientRequest::post("/events/", &own, "{}")
        .header(
            "Archmast-Prefix-Hash",
            &format!("a{shared:x}:3000,{own}:100"),
        )
        .header("Archmast-Token-Count", "3100,5")
}

/// Waits until the log of one of these routers has the text more often than in `before`, and
/// returns that router.
async fn until_one_logs(
    fleet: &DirectFleet,
    routers: &[usize],
    text: &str,
    before: &HashMap<usize, usize>,
) -> usize {
    let mut found = None;
    wait_until_async(text, async || {
        found = routers.iter().copied().find(|router| {
            let count = fleet.routers[*router].log_text().matches(text).count();
            count > before.get(router).copied().unwrap_or(0)
        });
        found.is_some()
    })
    .await;
    found.expect("found")
}

/// Sends prompts with shared parts that no router has placed before, each once, until this
/// router knows that the replica has one of them in its cache.
async fn until_known(
    fleet: &DirectFleet,
    router: usize,
    parts: &mut Range<u32>,
) {
    let count = || {
        fleet.routers[router]
            .log_text()
            .matches(PREFILLS_OWN_PART)
            .count()
    };
    let before = count();
    wait_until_async("a cached part is known that no router placed", async || {
        let part = parts.next().expect("parts enough");
        let answer = Client::call_once(fleet.caller_addresses[router], &prompt(part)).await;
        assert_eq!(answer.status, 200);
        count() > before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn when_the_router_that_follows_a_replica_is_killed_another_takes_over() {
    let mut fleet = DirectFleet::start(3, "").await;
    let replica = Replica::start(fleet.standins(), "i-a", ReplicaAnswer::events(3)).await;
    let routes = [RouteText::new("/events/", "s", "streaming")];
    fleet.store.publish_engines(1, &routes);
    fleet
        .store
        .list_replica("i-a", "s", replica.address, "ready");
    fleet.wait_until_ready().await;
    let all = [0, 1, 2];
    let follower = until_one_logs(&fleet, &all, FOLLOWS_LOG, &HashMap::new()).await;
    (0..1000).for_each(|part| replica.push_cache_event("+", &format!("a{part:x}"), 3000));
    let others: Vec<usize> = all.into_iter().filter(|it| *it != follower).collect();
    until_known(&fleet, others[0], &mut (0..1000)).await;

    let counts = others.iter().map(|router| {
        let text = fleet.routers[*router].log_text();
        (*router, text.matches(FOLLOWS_LOG).count())
    });
    let before: HashMap<usize, usize> = counts.collect();
    fleet.routers[follower].kill();
    let next = until_one_logs(&fleet, &others, FOLLOWS_LOG, &before).await;
    (1000..2000).for_each(|part| replica.push_cache_event("+", &format!("a{part:x}"), 3000));
    let other_router = others.into_iter().find(|router| *router != next);
    until_known(&fleet, other_router.expect("a third"), &mut (1000..2000)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_without_cache_events_gets_requests_all_the_same() {
    let fleet = DirectFleet::start(1, "").await;
    let replica = Replica::start(fleet.standins(), "i-a", ReplicaAnswer::events(3)).await;
    replica.refuse_cache_requests();
    let routes = [RouteText::new("/events/", "s", "streaming")];
    fleet.store.publish_engines(1, &routes);
    fleet
        .store
        .list_replica("i-a", "s", replica.address, "ready");
    fleet.wait_until_ready().await;
    let refused = "replica does not say what it keeps";
    until_one_logs(&fleet, &[0], refused, &HashMap::new()).await;
    for own in [1, 1] {
        let answer = Client::call_once(fleet.caller_addresses[0], &prompt(own)).await;
        assert_eq!(answer.status, 200);
    }
    until_one_logs(&fleet, &[0], "\"reading_tokens\":0,", &HashMap::new()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_evicted_by_its_replica_counts_as_prefill_again() {
    let fleet = DirectFleet::start(1, "").await;
    let replica = Replica::start(fleet.standins(), "i-a", ReplicaAnswer::events(3)).await;
    replica.set_cached_parts(&[("a1", 3000)]);
    let routes = [RouteText::new("/events/", "s", "streaming")];
    fleet.store.publish_engines(1, &routes);
    fleet
        .store
        .list_replica("i-a", "s", replica.address, "ready");
    fleet.wait_until_ready().await;
    until_one_logs(&fleet, &[0], "replica asked what it keeps", &HashMap::new()).await;
    replica.push_cache_event("-", "a1", 0);
    let asked = replica.event_request_count();
    // The router applies an answer before it makes the next call.
    wait_until_async("asked again", async || {
        replica.event_request_count() > asked + 1
    })
    .await;
    let answer = Client::call_once(fleet.caller_addresses[0], &prompt(1)).await;
    assert_eq!(answer.status, 200);
    let prefills_all = "\"reading_tokens\":3100,";
    until_one_logs(&fleet, &[0], prefills_all, &HashMap::new()).await;
}
