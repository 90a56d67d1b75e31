//! What replicas keep of prompts, by their own word: a follower dies, and another goes on.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText},
        fleet::wait_until_async,
    },
    std::{collections::HashMap, ops::Range},
};

const FOLLOWS: &str = "following what a replica keeps";

/// The own part only is believed to be read.
const READS_LITTLE: &str = "\"reading_tokens\":100,";

fn prompt(shared: u32) -> ClientRequest {
    let own = format!("b{shared:x}");
    ClientRequest::post("/events/", &own, "{}")
        .header(
            "Archmast-Prefix-Hash",
            &format!("a{shared:x}:3000,{own}:100"),
        )
        .header("Archmast-Token-Count", "3100,5")
}

/// The first router of some whose log has this text more often than before.
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

/// Sends prompts with shared parts that no router ever placed, each once, until this router
/// knows of one that the replica keeps it.
async fn until_known(
    fleet: &DirectFleet,
    router: usize,
    parts: &mut Range<u32>,
) {
    let count = || {
        fleet.routers[router]
            .log_text()
            .matches(READS_LITTLE)
            .count()
    };
    let before = count();
    wait_until_async("a part known that was placed by nobody", async || {
        let part = parts.next().expect("parts enough");
        let answer = Client::call_once(fleet.caller_addresses[router], &prompt(part)).await;
        assert_eq!(answer.status, 200);
        count() > before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn when_the_router_that_follows_a_replica_dies_another_goes_on() {
    let mut fleet = DirectFleet::start(3, "").await;
    let replica = Replica::start(fleet.standins(), "i-a", ReplicaAnswer::events(3)).await;
    let routes = [RouteText::new("/events/", "s", "streaming")];
    fleet.store.publish_engines(1, &routes);
    fleet
        .store
        .list_replica("i-a", "s", replica.address, "ready");
    fleet.wait_until_ready().await;
    let all = [0, 1, 2];
    let follower = until_one_logs(&fleet, &all, FOLLOWS, &HashMap::new()).await;
    (0..1000).for_each(|part| replica.push_cache_event("+", &format!("a{part:x}"), 3000));
    let rest: Vec<usize> = all.into_iter().filter(|it| *it != follower).collect();
    until_known(&fleet, rest[0], &mut (0..1000)).await;

    let counts = rest.iter().map(|router| {
        let text = fleet.routers[*router].log_text();
        (*router, text.matches(FOLLOWS).count())
    });
    let before: HashMap<usize, usize> = counts.collect();
    fleet.routers[follower].kill();
    let next = until_one_logs(&fleet, &rest, FOLLOWS, &before).await;
    (1000..2000).for_each(|part| replica.push_cache_event("+", &format!("a{part:x}"), 3000));
    let fellow = rest.into_iter().find(|router| *router != next);
    until_known(&fleet, fellow.expect("a third"), &mut (1000..2000)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_does_not_tell_is_served_as_before() {
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
async fn a_part_that_its_replica_gave_up_is_read_again_by_belief_too() {
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
    // An answer is taken in before the next call.
    wait_until_async("asked again", async || {
        replica.event_request_count() > asked + 1
    })
    .await;
    let answer = Client::call_once(fleet.caller_addresses[0], &prompt(1)).await;
    assert_eq!(answer.status, 200);
    let reads_all = "\"reading_tokens\":3100,";
    until_one_logs(&fleet, &[0], reads_all, &HashMap::new()).await;
}
