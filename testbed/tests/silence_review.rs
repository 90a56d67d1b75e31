//! Successors of silent replicas that fail only after the silent replica's attempt was given up.

use {
    archmast_testbed::{
        direct::{
            Client, ClientRequest, DirectFleet, Framing, Replica, ReplicaAnswer, RouteText, event,
        },
        fleet::wait_until,
    },
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        time::timeout,
    },
};

/// Number of the last event of a stream.
const LAST: u32 = 8;

/// Pause of a sound replica before each event.
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Time without an event after which a successor is asked.
const SILENCE_LIMIT: Duration = Duration::from_millis(1300);

/// The successor answers this long after it was asked: later than the router waits for a refusal.
const ANSWER_DELAY: Duration = Duration::from_millis(500);

/// Longer than any caller waits.
const FOR_GOOD: Duration = Duration::from_secs(600);

/// Statuses of requests that did not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Connections that fill the backlog of a listener; further ones are left without an answer.
const MAX_BACKLOG: usize = 16;

fn request(
    path: &str,
    id: &str,
    deadline_ms: u32,
) -> ClientRequest {
    let deadline = deadline_ms.to_string();
    ClientRequest::post(path, id, "prompt").header("Archmast-Deadline-Ms", &deadline)
}

fn paced_events() -> ReplicaAnswer {
    ReplicaAnswer::EventsPaced {
        framing: Framing::Chunks,
        last: LAST,
        pause: EVENT_PAUSE,
    }
}

async fn wait_until_known(
    fleet: &DirectFleet,
    count: usize,
) {
    wait_until("all replicas are known", || {
        let log = fleet.routers[0].log_text();
        log.matches("upstream Ready").count() >= count
    })
    .await;
}

/// A router with replicas that answer so.
async fn fleet(
    replica_count: usize,
    answer: ReplicaAnswer,
) -> (DirectFleet, Vec<Replica>) {
    let fleet = DirectFleet::start(1, "").await;
    let mut replicas = Vec::new();
    for number in 0..replica_count {
        let id = format!("i-{number}");
        replicas.push(fleet.start_replica(&id, "s", answer.clone()).await);
    }
    let routes = [
        RouteText::new("/chat/", "s", "streaming"),
        RouteText::new("/read/", "s", "idempotent"),
    ];
    fleet.store.publish(1, &routes);
    fleet.wait_until_ready().await;
    wait_until_known(&fleet, replica_count).await;
    (fleet, replicas)
}

/// Index of the replica that took this request.
async fn worker(
    replicas: &[Replica],
    id: &str,
) -> usize {
    let find = || replicas.iter().position(|r| r.received_count(id) > 0);
    wait_until("a replica has the request", || find().is_some()).await;
    find().expect("one was found")
}

async fn begin_stream(
    fleet: &DirectFleet,
    id: &str,
) -> Client {
    let router = fleet.caller_addresses[0];
    let mut client = Client::connect(router).await.expect("a connection");
    let request = request("/chat/", id, 7500);
    client.send(&request.bytes()).await.expect("sent");
    assert!(client.wait_for("piece 2").await, "{id}");
    client
}

async fn assert_whole_stream(
    fleet: &DirectFleet,
    client: &mut Client,
) {
    let answer = client.answer().await;
    let whole: String = (1..=LAST).map(event).collect();
    let log = fleet.routers[0].log_text();
    let ends = log.lines().filter(|line| {
        ["attempt ended", "stream ended", "silent"]
            .iter()
            .any(|text| line.contains(text))
    });
    let ends: Vec<&str> = ends.collect();
    assert!(answer.is_whole_success(), "{answer:?} {ends:#?}");
    assert_eq!(answer.text(), whole);
}

/// A replica falls silent after event 2, and goes on 150 ms after its successor was asked, which
/// gives this answer after `ANSWER_DELAY`.
async fn play_late_failure(failure: ReplicaAnswer) {
    let (fleet, replicas) = fleet(2, paced_events()).await;
    let mut client = begin_stream(&fleet, "id-1").await;
    let worker = worker(&replicas, "id-1").await;
    replicas[1 - worker].push_answer(failure);
    replicas[1 - worker].pause_for(SILENCE_LIMIT + ANSWER_DELAY);
    replicas[worker].pause_for(SILENCE_LIMIT + Duration::from_millis(150));
    assert_whole_stream(&fleet, &mut client).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_goes_on_is_not_cut_by_a_late_refusal_of_its_successor() {
    play_late_failure(ReplicaAnswer::NotExecuted { status: 503 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_goes_on_is_not_cut_by_a_late_close_of_its_successor() {
    play_late_failure(ReplicaAnswer::Close).await;
}

/// A listener that completes no further connection.
async fn full_listener(ip: IpAddr) -> (TcpListener, Vec<TcpStream>, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind((ip, 0).into()).expect("a free port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("a bound address");
    let mut held = Vec::new();
    while let Ok(stream) = timeout(ANSWER_DELAY, TcpStream::connect(address)).await {
        held.push(stream.expect("a connection"));
        assert!(held.len() < MAX_BACKLOG, "the backlog has no end");
    }
    (listener, held, address)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_is_not_cut_by_a_successor_that_cannot_be_connected_to() {
    let (fleet, replicas) = fleet(1, paced_events()).await;
    let (_listener, _held, address) = full_listener(fleet.standins()).await;
    let mut client = begin_stream(&fleet, "id-1").await;
    replicas[0].pause_for(SILENCE_LIMIT + Duration::from_millis(500));
    fleet
        .store
        .list_replica("i-unreachable", "s", address, "ready");
    assert_whole_stream(&fleet, &mut client).await;
}

/// A refusal of the successor says nothing about what the silent replica did.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_a_silent_replica_took_is_not_refused_as_not_run() {
    let slow = ReplicaAnswer::Slow {
        body: "answer".to_owned(),
        after: EVENT_PAUSE,
    };
    let (fleet, replicas) = fleet(2, slow).await;
    let router = fleet.caller_addresses[0];
    let mut client = Client::connect(router).await.expect("a connection");
    let request = request("/read/", "id-1", 7500);
    client.send(&request.bytes()).await.expect("sent");
    let worker = worker(&replicas, "id-1").await;
    let successor = &replicas[1 - worker];
    successor.push_answer(ReplicaAnswer::NotExecuted { status: 503 });
    successor.pause_for(Duration::from_millis(3000));
    replicas[worker].pause_for(FOR_GOOD);
    let answer = client.answer().await;
    assert_eq!(successor.received_count("id-1"), 1);
    assert!(
        !NOT_RUN_STATUSES.contains(&answer.status),
        "{answer:?} {}",
        answer.text()
    );
}
