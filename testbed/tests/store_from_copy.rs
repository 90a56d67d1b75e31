//! The store returns from a copy that lacks its newest writes, and gives their revisions out
//! again. Routers that compared only revisions took what was written then for old, and sent
//! requests to replicas for over three seconds after these had said that they leave.

use {
    archmast_testbed::{
        direct::{
            Client, ClientAnswer, ClientRequest, DirectFleet, LostWrite, Replica, ReplicaAnswer,
            RouteText, StoreMode,
        },
        fleet::{wait_until, wait_until_async},
    },
    std::{
        ops::RangeInclusive,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Time within which a replica that leaves gets no more requests.
const DRAIN: Duration = Duration::from_secs(3);

/// Longer than replicas that the copy lacks stay in use without an entry.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// For how long requests are checked after that.
const CHECKED_FOR: Duration = Duration::from_secs(2);

/// Time after the store's return at which what it lost is written again.
const REWRITE_PAUSE: Duration = Duration::from_millis(300);

/// For how long the store is away.
const AWAY: Duration = Duration::from_millis(800);

/// Zones, and the routers of each: in the second, one router does not read the store itself.
const ZONES: [&str; 3] = ["z", "z-1", "z-2"];
const ROUTERS: [usize; 3] = [2, 3, 2];

/// Indexes of the zones of all routers.
fn router_zones() -> impl Iterator<Item = usize> {
    (0..ZONES.len()).flat_map(|zone| std::iter::repeat_n(zone, ROUTERS[zone]))
}

fn routes() -> Vec<RouteText> {
    vec![RouteText::new("/first/", "s", "idempotent")]
}

/// Routers and one replica, which answers with its id, in each of three zones.
async fn fleet() -> (DirectFleet, Vec<Replica>) {
    // A router that hands connections on answers by what its neighbour knows.
    let fleet = DirectFleet::start_in_zones(&ROUTERS, "hand_on = 1.0\n").await;
    let mut replicas = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let id = format!("i-{index}");
        let replica = Replica::start(fleet.standins(), &id, ReplicaAnswer::ok(&id)).await;
        fleet
            .store
            .list_replica_in(zone, &id, "s", replica.address, "ready");
        replicas.push(replica);
    }
    fleet.store.publish(1, &routes());
    fleet.wait_until_ready().await;
    for (router, zone) in router_zones().enumerate() {
        until_served_by(&fleet, router, &replicas[zone]).await;
    }
    (fleet, replicas)
}

async fn answer(
    fleet: &DirectFleet,
    router: usize,
) -> ClientAnswer {
    let request = ClientRequest::get("/first/", "probe");
    Client::call_once(fleet.caller_addresses[router], &request).await
}

/// Waits until requests to a router are answered by this replica.
async fn until_served_by(
    fleet: &DirectFleet,
    router: usize,
    replica: &Replica,
) {
    wait_until_async("the replica serves", async || {
        answer(fleet, router).await.text() == replica.id
    })
    .await;
}

/// Waits until no router sends requests to the replica.
async fn until_unused(
    fleet: &DirectFleet,
    replica: &Replica,
) {
    for router in 0..fleet.routers.len() {
        wait_until_async("requests go elsewhere", async || {
            let answer = answer(fleet, router).await;
            answer.status == 200 && answer.text() != replica.id
        })
        .await;
    }
}

/// Waits until all routers have a log line with both texts.
async fn until_logged(
    fleet: &DirectFleet,
    message: &str,
    field: &str,
) {
    for router in &fleet.routers {
        wait_until(message, || {
            let log = router.log_text();
            log.lines()
                .any(|line| line.contains(message) && line.contains(field))
        })
        .await;
    }
}

/// Waits until the routers know that the store has begun this era.
async fn until_era(
    fleet: &DirectFleet,
    era: u64,
) {
    let began = format!(r#""era":{era},"#);
    until_logged(fleet, "the store came back", &began).await;
}

/// Publishes these versions, and waits until the routers have the last.
async fn publish(
    fleet: &DirectFleet,
    versions: RangeInclusive<u64>,
) {
    let last = *versions.end();
    for version in versions {
        fleet.store.publish(version, &routes());
    }
    let version = format!(r#""version":{last}}}"#);
    until_logged(fleet, "configuration accepted", &version).await;
}

/// The store is away and returns from a copy made at `copied`. Returns what it lost.
async fn lose_since(
    fleet: &DirectFleet,
    copied: Instant,
) -> Vec<LostWrite> {
    set_store(fleet, StoreMode::Busy);
    sleep(AWAY).await;
    let lost = fleet.store.return_from_copy(copied.elapsed());
    set_store(fleet, StoreMode::Well);
    lost
}

/// The same, and what was lost is written again soon after the return.
async fn lose_and_rewrite(
    fleet: &DirectFleet,
    copied: Instant,
) {
    let lost = lose_since(fleet, copied).await;
    sleep(REWRITE_PAUSE).await;
    rewrite(fleet, lost);
}

fn rewrite(
    fleet: &DirectFleet,
    lost: Vec<LostWrite>,
) {
    for write in lost {
        fleet.store.write_again(write);
    }
}

fn set_store(
    fleet: &DirectFleet,
    mode: StoreMode,
) {
    for port in &fleet.store_ports {
        port.set_mode(mode);
    }
}

/// Sends requests to all routers and fails if one reaches the replica more than [`DRAIN`] after
/// `said`.
async fn check_unused(
    fleet: &DirectFleet,
    replica: &Replica,
    said: Instant,
) {
    let until = said + DRAIN + CHECKED_FOR;
    while Instant::now() < until {
        for router in 0..fleet.routers.len() {
            answer(fleet, router).await;
        }
        sleep(Duration::from_millis(10)).await;
    }
    let received = replica.received();
    let late = received.iter().filter(|seen| seen.arrived > said + DRAIN);
    assert_eq!(late.count(), 0, "requests after the replica left");
}

/// Writes the entry of a replica.
fn list(
    fleet: &DirectFleet,
    replica: &Replica,
    state: &str,
) {
    let index: usize = replica.id["i-".len()..].parse().expect("an index");
    fleet
        .store
        .list_replica_in(ZONES[index], &replica.id, "s", replica.address, state);
}

fn say_draining(
    fleet: &DirectFleet,
    replica: &Replica,
) -> Instant {
    list(fleet, replica, "draining");
    Instant::now()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_leaves_after_the_store_lost_changes_gets_no_requests() {
    let (fleet, replicas) = fleet().await;
    let copied = Instant::now();
    publish(&fleet, 2..=12).await;
    lose_and_rewrite(&fleet, copied).await;
    let said = say_draining(&fleet, &replicas[1]);
    check_unused(&fleet, &replicas[1], said).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_whose_newest_entry_the_store_lost_gets_no_requests_when_it_leaves() {
    let (fleet, replicas) = fleet().await;
    let copied = Instant::now();
    publish(&fleet, 2..=12).await;
    for replica in &replicas {
        list(&fleet, replica, "ready");
    }
    publish(&fleet, 13..=14).await;
    lose_and_rewrite(&fleet, copied).await;
    let said = say_draining(&fleet, &replicas[1]);
    check_unused(&fleet, &replicas[1], said).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn it_holds_when_the_store_has_grown_past_the_revision_before_it_answers() {
    let (fleet, replicas) = fleet().await;
    let copied = Instant::now();
    publish(&fleet, 2..=4).await;
    set_store(&fleet, StoreMode::Busy);
    let lost = fleet.store.return_from_copy(copied.elapsed());
    rewrite(&fleet, lost);
    let said = say_draining(&fleet, &replicas[1]);
    for version in 5..20 {
        fleet.store.publish(version, &routes());
    }
    set_store(&fleet, StoreMode::Well);
    check_unused(&fleet, &replicas[1], said).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn it_holds_when_the_store_tells_no_era() {
    let (fleet, replicas) = fleet().await;
    fleet.store.hide_era();
    let copied = Instant::now();
    publish(&fleet, 2..=12).await;
    lose_and_rewrite(&fleet, copied).await;
    let said = say_draining(&fleet, &replicas[1]);
    check_unused(&fleet, &replicas[1], said).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn it_holds_after_two_losses_in_series() {
    let (fleet, replicas) = fleet().await;
    let copied = Instant::now();
    publish(&fleet, 2..=12).await;
    let said = say_draining(&fleet, &replicas[1]);
    until_unused(&fleet, &replicas[1]).await;
    let lost = lose_since(&fleet, copied).await;
    sleep(REWRITE_PAUSE).await;
    let lost_again = lose_since(&fleet, copied).await;
    check_unused(&fleet, &replicas[1], said).await;
    rewrite(&fleet, lost);
    rewrite(&fleet, lost_again);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_that_the_store_lost_holds_at_routers_that_start_since() {
    let (mut fleet, replicas) = fleet().await;
    let copied = Instant::now();
    publish(&fleet, 2..=12).await;
    let said = say_draining(&fleet, &replicas[1]);
    until_unused(&fleet, &replicas[1]).await;
    let lost = lose_since(&fleet, copied).await;
    until_era(&fleet, 1).await;
    for router in [2, 3] {
        fleet.routers[router].kill();
        fleet.routers[router].restart().expect("it starts again");
    }
    fleet.wait_until_ready().await;
    check_unused(&fleet, &replicas[1], said).await;
    rewrite(&fleet, lost);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cordon_that_the_store_lost_holds_until_it_is_lifted() {
    let (mut fleet, replicas) = fleet().await;
    let copied = Instant::now();
    publish(&fleet, 2..=12).await;
    fleet.store.cordon_zone(ZONES[1]);
    let said = Instant::now();
    until_unused(&fleet, &replicas[1]).await;
    let lost = lose_since(&fleet, copied).await;
    until_era(&fleet, 1).await;
    fleet.routers[2].kill();
    fleet.routers[2].restart().expect("it starts again");
    fleet.wait_until_ready().await;
    check_unused(&fleet, &replicas[1], said).await;
    rewrite(&fleet, lost);
    check_unused(&fleet, &replicas[1], Instant::now() - DRAIN).await;
    fleet.store.uncordon_zone(ZONES[1]);
    until_served_by(&fleet, 2, &replicas[1]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_the_copy_lacks_stays_in_use_when_it_writes_again() {
    let (fleet, _replicas) = fleet().await;
    let copied = Instant::now();
    publish(&fleet, 2..=12).await;
    let replica = Replica::start(fleet.standins(), "i-new", ReplicaAnswer::ok("i-new")).await;
    fleet
        .store
        .list_replica_in("z-1", "i-new", "s", replica.address, "ready");
    fleet.store.remove_replica("i-1");
    until_served_by(&fleet, 2, &replica).await;
    let lost = lose_since(&fleet, copied).await;
    until_era(&fleet, 1).await;
    assert_eq!(answer(&fleet, 2).await.text(), "i-new");
    rewrite(&fleet, lost);
    sleep(LAPSE_GRACE).await;
    assert_eq!(answer(&fleet, 2).await.text(), "i-new");
}
