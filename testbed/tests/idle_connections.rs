//! A request that a caller sends on a connection that has rested for at most four fifths of the
//! idle time-out is answered or refused, whatever else happens to the connection.

use {
    archmast_testbed::{
        direct::{
            Client, ClientRequest, ConfigText, DirectFleet, Replica, ReplicaAnswer, RouteText,
            forwarding_fleet,
        },
        fleet::wait_until,
    },
    std::time::{Duration, Instant},
    tokio::task::JoinSet,
};

/// How long ago a caller must have been sent a close to know of it, as on a network.
const CLOSE_DELAY: Duration = Duration::from_millis(2);

/// How long callers wait for a byte.
const GIVE_UP_AFTER: Duration = Duration::from_secs(8);

/// Callers in each play.
const CALLERS: u64 = 24;

fn routes() -> [RouteText; 2] {
    [
        RouteText::new("/events/", "s", "streaming"),
        RouteText::new("/plain/", "p", "idempotent"),
    ]
}

fn publish(
    fleet: &DirectFleet,
    version: u64,
    idle_timeout_ms: u64,
) {
    fleet.store.publish_config(&ConfigText {
        idle_timeout_ms,
        ..ConfigText::new(version, &routes())
    });
}

/// A router with this idle time-out, and a replica each for streams like `stream` and for plain
/// answers.
async fn fleet(
    idle_timeout_ms: u64,
    stream: ReplicaAnswer,
    callers_text: &str,
) -> (DirectFleet, [Replica; 2]) {
    let fleet = DirectFleet::start(1, callers_text).await;
    let replicas = [
        fleet.start_replica("i-a", "s", stream).await,
        fleet
            .start_replica("i-b", "p", ReplicaAnswer::ok("plain"))
            .await,
    ];
    publish(&fleet, 1, idle_timeout_ms);
    fleet.wait_until_ready().await;
    wait_until("both replicas are known", || {
        log(&fleet).matches("upstream Ready").count() >= 2
    })
    .await;
    (fleet, replicas)
}

fn log(fleet: &DirectFleet) -> String {
    fleet.routers[0].log_text()
}

fn paced_stream() -> ReplicaAnswer {
    ReplicaAnswer::Events {
        last: 12,
        pause: Duration::from_millis(130),
    }
}

fn plain(id: &str) -> ClientRequest {
    ClientRequest::get("/plain/", id)
}

async fn connect(fleet: &DirectFleet) -> Client {
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("connects");
    client.give_up_after(GIVE_UP_AFTER);
    client
}

/// What became of requests on connections that were kept.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct Counts {
    answered: u32,
    refused: u32,
    not_sent: u32, // as the caller knew of the close
    lost: u32,     // sent, and no complete answer came
}

impl Counts {
    fn sum(all: impl IntoIterator<Item = Self>) -> Self {
        all.into_iter().fold(Self::default(), |sum, one| Self {
            answered: sum.answered + one.answered,
            refused: sum.refused + one.refused,
            not_sent: sum.not_sent + one.not_sent,
            lost: sum.lost + one.lost,
        })
    }

    /// Sends a request after a rest unless the caller knows of a close. Returns whether the
    /// connection can be used again.
    async fn send_after(
        &mut self,
        client: &mut Client,
        rest: Duration,
        request: &ClientRequest,
    ) -> bool {
        if rest > CLOSE_DELAY {
            tokio::time::sleep(rest - CLOSE_DELAY).await;
            if client.is_known_closed() {
                self.not_sent += 1;
                return false;
            }
        }
        tokio::time::sleep(CLOSE_DELAY.min(rest)).await;
        let answer = client.call(request).await;
        match answer.status {
            200 if answer.is_complete => self.answered += 1,
            503 if answer.is_complete => self.refused += 1,
            _ => self.lost += 1,
        }
        answer.is_complete && answer.header("connection") != "close"
    }
}

/// Reads a stream to its end, then sends plain requests with short rests in between.
async fn stream_and_series(
    mut client: Client,
    caller: u64,
) -> Counts {
    let mut counts = Counts::default();
    let stream = ClientRequest::post("/events/", &format!("s-{caller}"), "{}");
    let answer = client.call(&stream).await;
    assert!(answer.is_whole_success(), "{answer:?}");
    if answer.header("connection") == "close" {
        return counts;
    }
    for number in 0..4 {
        let rest = Duration::from_millis((caller + number * 3) % 11);
        let request = plain(&format!("p-{caller}-{number}"));
        if !counts.send_after(&mut client, rest, &request).await {
            break;
        }
    }
    counts
}

async fn play_streams(fleet: &DirectFleet) -> Counts {
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(stream_and_series(connect(fleet).await, caller));
    }
    Counts::sum(callers.join_all().await)
}

#[tokio::test(flavor = "multi_thread")]
async fn closed_connections_are_logged_with_their_reason() {
    let (fleet, _replicas) = fleet(700, paced_stream(), "").await;
    let mut client = connect(&fleet).await;
    assert!(client.call(&plain("last-one")).await.is_whole_success());
    assert!(client.is_closed_by_router().await);
    wait_until("the close is logged", || {
        log(&fleet).lines().any(|line| {
            [
                "connection closed",
                "\"idle\"",
                "last-one",
                "\"unread_bytes\":0",
            ]
            .iter()
            .all(|part| line.contains(part))
        })
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_after_a_stream_longer_than_the_idle_timeout_are_answered() {
    let (fleet, _replicas) = fleet(1000, paced_stream(), "").await;
    let counts = play_streams(&fleet).await;
    let answered = 4 * CALLERS as u32;
    assert_eq!(
        counts,
        Counts {
            answered,
            ..Counts::default()
        }
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_after_a_stream_are_answered_when_the_idle_timeout_became_shorter() {
    let (fleet, _replicas) = fleet(15_000, paced_stream(), "").await;
    let shortening = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        publish(&fleet, 2, 500);
    };
    let (counts, ()) = tokio::join!(play_streams(&fleet), shortening);
    let answered = 4 * CALLERS as u32;
    assert_eq!(
        counts,
        Counts {
            answered,
            ..Counts::default()
        }
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_still_follow_a_longer_idle_timeout_are_answered() {
    let (fleet, _replicas) = fleet(5_000, paced_stream(), "").await;
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let mut client = connect(&fleet).await;
        callers.spawn(async move {
            assert!(client.call(&plain("first")).await.is_whole_success());
            let rest = Duration::from_millis(4_000 * (caller + 1) / CALLERS);
            tokio::time::sleep(rest).await;
            client.call(&plain("second")).await.is_whole_success()
        });
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    publish(&fleet, 2, 500);
    let answered = callers.join_all().await;
    let answered = answered.into_iter().filter(|answered| *answered).count();
    assert_eq!(answered as u64, CALLERS);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shorter_idle_timeout_counts_once_the_longer_one_has_passed() {
    let (fleet, _replicas) = fleet(2_000, paced_stream(), "").await;
    publish(&fleet, 2, 500);
    tokio::time::sleep(Duration::from_millis(6_500)).await;
    let mut client = connect(&fleet).await;
    assert!(client.call(&plain("one")).await.is_whole_success());
    let rested = Instant::now();
    assert!(client.is_closed_by_router().await);
    assert!(rested.elapsed() < Duration::from_millis(1_600));
}

/// The parts of a request with a body, cut inside the head and inside the body.
fn request_in_parts(id: &str) -> [Vec<u8>; 3] {
    let bytes = ClientRequest::post("/plain/", id, "0123456789").bytes();
    let (head, rest) = bytes.split_at(20);
    let (middle, end) = rest.split_at(rest.len() - 5);
    [head.to_vec(), middle.to_vec(), end.to_vec()]
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_comes_in_parts_is_answered() {
    let (fleet, _replicas) = fleet(700, paced_stream(), "").await;
    let mut client = connect(&fleet).await;
    for id in ["first", "second"] {
        let [head, middle, end] = request_in_parts(id);
        client.send(&head).await.expect("is sent");
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        client.send(&middle).await.expect("is sent");
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        client.send(&end).await.expect("is sent");
        assert!(client.answer().await.is_whole_success(), "{id}");
    }
}

/// Guards against a close that drops the part of a request that was read along with the request
/// before it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_read_in_part_with_the_one_before_is_answered() {
    let (fleet, _replicas) = fleet(700, paced_stream(), "").await;
    let mut client = connect(&fleet).await;
    let [head, middle, end] = request_in_parts("second");
    let first = [plain("first").bytes(), head].concat();
    client.send(&first).await.expect("is sent");
    assert!(client.answer().await.is_whole_success());
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    client.send(&middle).await.expect("is sent");
    client.send(&end).await.expect("is sent");
    assert!(client.answer().await.is_whole_success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_of_a_head_holds_a_connection_for_the_header_timeout_only() {
    let (fleet, _replicas) = fleet(700, paced_stream(), "").await;
    let mut client = connect(&fleet).await;
    let [head, ..] = request_in_parts("part");
    client.send(&head).await.expect("is sent");
    let sent = Instant::now();
    assert!(client.is_closed_by_router().await);
    let held = sent.elapsed();
    assert!((3_000..4_500).contains(&held.as_millis()), "{held:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_late_can_send_its_next_request() {
    let (fleet, _replicas) = fleet(500, ReplicaAnswer::events(150_000), "").await;
    let mut client = connect(&fleet).await;
    let stream = ClientRequest::post("/events/", "late", "{}");
    client.send(&stream.bytes()).await.expect("is sent");
    assert!(client.wait_for("id: 1\n").await);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(client.answer().await.is_whole_success());
    let mut counts = Counts::default();
    let rest = Duration::from_millis(3);
    counts.send_after(&mut client, rest, &plain("next")).await;
    assert_eq!(counts.answered, 1, "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_come_while_the_router_stands_still_are_answered() {
    let (fleet, _replicas) = fleet(1_000, paced_stream(), "").await;
    let mut clients = Vec::new();
    for _ in 0..CALLERS {
        let mut client = connect(&fleet).await;
        assert!(client.call(&plain("first")).await.is_whole_success());
        clients.push(client);
    }
    fleet.routers[0].freeze();
    tokio::time::sleep(Duration::from_millis(500)).await;
    for client in &mut clients {
        let request = plain("second").bytes();
        client.send(&request).await.expect("is sent");
    }
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    fleet.routers[0].thaw();
    let mut answered = 0;
    for client in &mut clients {
        let answer = client.answer().await;
        answered += u64::from(answer.is_complete && [200, 503].contains(&answer.status));
    }
    assert_eq!(answered, CALLERS);
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_at_rest_stay_open_while_others_crowd_the_router() {
    let (fleet, _replicas) = fleet(3_000, paced_stream(), "max_connections = 10\n").await;
    let mut clients = Vec::new();
    for _ in 0..10 {
        let mut client = connect(&fleet).await;
        assert!(client.call(&plain("first")).await.is_whole_success());
        clients.push(client);
    }
    let mut others = Vec::new();
    for _ in 0..6 {
        others.push(connect(&fleet).await);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let mut answered = 0;
    for mut client in clients {
        answered += u32::from(client.call(&plain("second")).await.is_whole_success());
    }
    assert_eq!(answered, 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_after_streams_that_outlast_a_stop_are_refused() {
    let stream = ReplicaAnswer::Events {
        last: 16,
        pause: Duration::from_millis(130),
    };
    let (mut fleet, _replicas) = fleet(15_000, stream, "").await;
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.routers[0].terminate();
    };
    let (counts, ()) = tokio::join!(play_streams(&fleet), stopping);
    let refused = CALLERS as u32;
    assert_eq!(
        counts,
        Counts {
            refused,
            ..Counts::default()
        }
    );
    wait_until("the router exits", || {
        fleet.routers[0].exit_status().is_some()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_after_forwarded_streams_that_outlast_a_stop_are_answered() {
    let (fleet, replica) = forwarding_fleet().await;
    fleet.keep_connections(1).await;
    replica.set_default_answer(ReplicaAnswer::Events {
        last: 16,
        pause: Duration::from_millis(130),
    });
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let mut client = connect(&fleet).await;
        callers.spawn(async move {
            let stream = ClientRequest::post("/chat/", &format!("s-{caller}"), "{}");
            let answer = client.call(&stream).await;
            assert!(answer.is_whole_success(), "{answer:?}");
            let mut counts = Counts::default();
            if answer.header("connection") != "close" {
                let rest = Duration::from_millis(caller % 11);
                let request = plain(&format!("p-{caller}"));
                counts.send_after(&mut client, rest, &request).await;
            }
            counts
        });
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.routers[0].terminate();
    let counts = Counts::sum(callers.join_all().await);
    assert!(counts.answered > 0, "{counts:?}");
    assert_eq!((counts.lost, counts.not_sent), (0, 0), "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_does_not_wait_for_idle_callers() {
    let (mut fleet, _replicas) = fleet(15_000, paced_stream(), "").await;
    let mut clients = Vec::new();
    for _ in 0..CALLERS {
        let mut client = connect(&fleet).await;
        assert!(client.call(&plain("first")).await.is_whole_success());
        clients.push(client);
    }
    fleet.routers[0].terminate();
    let stopped = Instant::now();
    wait_until("the router exits", || {
        fleet.routers[0].exit_status().is_some()
    })
    .await;
    // The balancer's delay of 0.3 s, refusals for 0.5 s, and at most as long again.
    let took = stopped.elapsed();
    assert!(took < Duration::from_millis(1_500), "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_are_closed_early_when_far_too_many_are_open() {
    let (fleet, _replicas) = fleet(15_000, paced_stream(), "max_connections = 10\n").await;
    let mut clients = Vec::new();
    for _ in 0..21 {
        clients.push(connect(&fleet).await);
    }
    let opened = Instant::now();
    assert!(clients[0].is_closed_by_router().await);
    assert!(opened.elapsed() < Duration::from_millis(2_500));
}

/// Guards against a close without notice after an answer that comes before its request's body was
/// read.
#[tokio::test(flavor = "multi_thread")]
async fn requests_after_a_refused_one_with_a_long_body_are_answered() {
    let (fleet, _replicas) = fleet(15_000, paced_stream(), "").await;
    let body = "x".repeat(60_000);
    let mut lost = 0;
    for number in 0..CALLERS {
        let mut client = connect(&fleet).await;
        let refused = ClientRequest::post("/none/", &format!("r-{number}"), &body);
        let answer = client.call(&refused).await;
        if (answer.status, answer.is_complete) != (404, true) {
            lost += 1;
        } else if answer.header("connection") != "close" {
            let answer = client.call(&plain(&format!("n-{number}"))).await;
            lost += u32::from(!answer.is_whole_success());
        }
    }
    assert_eq!(lost, 0);
}
