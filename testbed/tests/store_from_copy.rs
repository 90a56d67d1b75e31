//! The store returns from a copy that lacks its newest writes, and gives their revisions out
//! again. Routers that compared only revisions took what was written then for old, and sent
//! requests to replicas for over three seconds after these had said that they leave.

use {
    archmast_testbed::{
        direct::{
            Client, ClientAnswer, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText,
            StoreMode,
        },
        fleet::{wait_until, wait_until_async},
    },
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Time within which a replica that leaves gets no more requests.
const DRAIN: Duration = Duration::from_secs(3);

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
    let fleet = DirectFleet::start_in_zones(&ROUTERS, "").await;
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

/// Publishes configurations up to this version, and waits until the routers have the last.
async fn publish_up_to(
    fleet: &DirectFleet,
    version: u64,
) {
    for version in 2..=version {
        fleet.store.publish(version, &routes());
    }
    let accepted = format!(r#""version":{version}"#);
    for router in &fleet.routers {
        wait_until("the configuration is in force", || {
            let log = router.log_text();
            log.lines()
                .any(|line| line.contains("configuration accepted") && line.contains(&accepted))
        })
        .await;
    }
}

/// The store is away and returns from a copy made at `copied`. What was lost is written again
/// after `pause`.
async fn lose_since(
    fleet: &DirectFleet,
    copied: Instant,
    pause: Duration,
) {
    set_store(fleet, StoreMode::Busy);
    sleep(AWAY).await;
    let lost = fleet.store.return_from_copy(copied.elapsed());
    set_store(fleet, StoreMode::Well);
    sleep(pause).await;
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

fn say_draining(
    fleet: &DirectFleet,
    replica: &Replica,
) -> Instant {
    let index: usize = replica.id["i-".len()..].parse().expect("an index");
    let zone = ZONES[index];
    fleet
        .store
        .list_replica_in(zone, &replica.id, "s", replica.address, "draining");
    Instant::now()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_leaves_after_the_store_lost_changes_gets_no_requests() {
    let (fleet, replicas) = fleet().await;
    let copied = Instant::now();
    publish_up_to(&fleet, 12).await;
    lose_since(&fleet, copied, REWRITE_PAUSE).await;
    let said = say_draining(&fleet, &replicas[1]);
    check_unused(&fleet, &replicas[1], said).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_whose_newest_entry_the_store_lost_gets_no_requests_when_it_leaves() {
    let (fleet, replicas) = fleet().await;
    let copied = Instant::now();
    publish_up_to(&fleet, 12).await;
    for (replica, zone) in replicas.iter().zip(ZONES) {
        fleet
            .store
            .list_replica_in(zone, &replica.id, "s", replica.address, "ready");
    }
    publish_up_to(&fleet, 14).await;
    lose_since(&fleet, copied, REWRITE_PAUSE).await;
    let said = say_draining(&fleet, &replicas[1]);
    check_unused(&fleet, &replicas[1], said).await;
}
