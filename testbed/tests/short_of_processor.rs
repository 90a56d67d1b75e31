//! Routers that are short of processor time beside idle ones: what an account gets follows from its
//! share, not from the host that its connections reach.

use {
    archmast_testbed::{
        direct::{
            Client, ClientRequest, ConfigText, DirectFleet, Replica, ReplicaAnswer, RouteText,
        },
        fleet::{Throttle, wait_until},
    },
    serde_json::json,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// For how long requests are sent.
const PLAY_TIME: Duration = Duration::from_secs(9);

/// Time over which accounts are compared, and the step between two beginnings of it.
const COMPARED_TIME: Duration = Duration::from_secs(6);
const COMPARED_STEP: Duration = Duration::from_millis(500);

/// Pause between two requests of an account.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Longer than a router may stand still without confirming what it knows.
const SUSPENSION: Duration = Duration::from_secs(2);

/// The least part of what another account gets, or of what it asks for, if that is less.
const MIN_FRACTION: f64 = 0.5;

fn prompt(
    key: &str,
    number: usize,
) -> ClientRequest {
    ClientRequest::post("/chat/", &format!("{key}-{number}"), "{}")
        .header("Archmast-Credential", key)
        .header("Archmast-Prefix-Hash", &format!("{number:x}:980"))
        .header("Archmast-Token-Count", "980,10")
}

/// Sends requests of one account, each on a connection of its own, from `start` on without waiting
/// for answers. Returns when each was sent, and its status.
async fn send_requests(
    router: SocketAddr,
    key: &'static str,
    start: Instant,
) -> Vec<(Duration, u16)> {
    let mut sent = JoinSet::new();
    let mut ticks = tokio::time::interval(REQUEST_INTERVAL);
    while start.elapsed() < PLAY_TIME {
        ticks.tick().await;
        let number = sent.len();
        let request = prompt(key, number);
        sent.spawn(async move {
            let sent_at = start.elapsed();
            let answer = Client::call_once(router, &request).await;
            (sent_at, answer.status)
        });
    }
    sent.join_all().await
}

/// The part of `account`'s requests that were served, or its part of what `other` got if that is
/// greater, in the worst six seconds.
fn worst_fraction(
    account: &[(Duration, u16)],
    other: &[(Duration, u16)],
) -> f64 {
    let count = |requests: &[(Duration, u16)], from: Duration, only_served: bool| {
        let in_time = |at: Duration| (from..from + COMPARED_TIME).contains(&at);
        let counted =
            |(at, status): &&(Duration, u16)| in_time(*at) && (!only_served || *status == 200);
        requests.iter().filter(counted).count() as f64
    };
    let mut worst = f64::MAX;
    let mut from = Duration::ZERO;
    while from + COMPARED_TIME <= PLAY_TIME {
        let asked = count(account, from, false);
        let best = count(other, from, true);
        worst = worst.min(count(account, from, true) / asked.min(best));
        from += COMPARED_STEP;
    }
    worst
}

/// Routers of one zone, and two replicas of a model.
async fn fleet(
    routers: usize,
    callers_text: &str,
) -> (DirectFleet, Vec<Replica>) {
    let fleet = DirectFleet::start(routers, callers_text).await;
    let mut replicas = Vec::new();
    for id in ["i-a", "i-b"] {
        let answer = ReplicaAnswer::events(2);
        replicas.push(fleet.start_replica(id, "s", answer).await);
    }
    let routes = [RouteText::new("/chat/", "s", "streaming")];
    fleet.store.publish_config(&ConfigText {
        service_fields: json!({"engine": {"slots": 64, "kv_capacity_tokens": 1_000_000}}),
        more_accounts: &[("other", "key-2")],
        ..ConfigText::new(1, &routes)
    });
    fleet.wait_until_ready().await;
    for router in &fleet.routers {
        wait_until("the router knows the replicas", || {
            router.log_text().matches("upstream Ready").count() >= replicas.len()
        })
        .await;
    }
    (fleet, replicas)
}

/// One account's connections reach a router that runs for a tenth of the time, another's one that
/// has all of it; both begin at once. Returns the worst part of its share that the first gets.
async fn play(callers_text: &str) -> f64 {
    let (fleet, _replicas) = fleet(2, callers_text).await;
    let (throttled, idle) = (fleet.caller_addresses[0], fleet.caller_addresses[1]);
    let throttle = Throttle::start(&fleet.routers[0]);
    let start = Instant::now();
    let (account, other) = tokio::join!(
        send_requests(throttled, "key-1", start),
        send_requests(idle, "key-2", start)
    );
    drop(throttle);
    worst_fraction(&account, &other)
}

/// Guards against a router that hands nothing on because it is short of processor time.
#[tokio::test(flavor = "multi_thread")]
async fn an_account_at_a_router_short_of_processor_gets_its_share_beside_an_idle_neighbour() {
    let fraction = play("").await;
    assert!(fraction >= MIN_FRACTION, "{fraction}");
}

/// Guards against refusals for want of processor time that do not know whose request it is.
#[tokio::test(flavor = "multi_thread")]
async fn an_account_at_a_router_short_of_processor_gets_its_share_without_neighbours() {
    let fraction = play("hand_on = 1.0\n").await;
    assert!(fraction >= MIN_FRACTION, "{fraction}");
}

/// The number of accounts that a router counts as having requested tokens lately.
async fn accounts_with_demand(
    fleet: &DirectFleet,
    router: usize,
) -> f64 {
    // The gauges are set when the status is read.
    let read = async |path| {
        let request = ClientRequest::get(path, "read");
        Client::call_once(fleet.operator_addresses[router], &request).await
    };
    assert_eq!(read("/status").await.status, 200);
    let answer = read("/metrics").await;
    let text = answer.text();
    let lines = text
        .lines()
        .filter(|line| line.starts_with("archmast_accounts{"));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// Guards against refusals whose tokens no share counts: the fleet would take the account for
/// content.
#[tokio::test(flavor = "multi_thread")]
async fn what_a_router_refuses_before_it_is_a_call_counts_as_requested() {
    let (fleet, _replicas) = fleet(1, "").await;
    assert_eq!(accounts_with_demand(&fleet, 0).await, 0.0);
    fleet.routers[0].freeze();
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("connected");
    client
        .send(&prompt("key-1", 1).bytes())
        .await
        .expect("sent");
    tokio::time::sleep(SUSPENSION).await;
    fleet.routers[0].thaw();
    let answer = client.answer().await;
    assert_eq!((answer.status, answer.code()), (503, Some(45)));
    assert_eq!(accounts_with_demand(&fleet, 0).await, 1.0);
}
