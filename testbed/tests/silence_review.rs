//! Successors of silent replicas: some fail late, some are silent too, some callers leave meanwhile.

use {
    archmast_testbed::{
        direct::{
            Client, ClientRequest, DirectFleet, Framing, Replica, ReplicaAnswer, ReplicaRun,
            RouteText, event,
        },
        fleet::wait_until,
    },
    futures::future::join_all,
    std::{
        net::{IpAddr, SocketAddr},
        time::{Duration, Instant},
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
    let long = RouteText {
        attempts: 3,
        ..RouteText::new("/three/", "s", "streaming")
    };
    let routes = [
        RouteText::new("/chat/", "s", "streaming"),
        long,
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
    begin_stream_on(fleet, "/chat/", id).await
}

async fn begin_stream_on(
    fleet: &DirectFleet,
    path: &str,
    id: &str,
) -> Client {
    let router = fleet.caller_addresses[0];
    let mut client = Client::connect(router).await.expect("a connection");
    let request = request(path, id, 7500);
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

/// An idle replica that was just sent one of the streams is not silent.
#[tokio::test(flavor = "multi_thread")]
async fn all_streams_of_a_replica_that_is_silent_for_good_are_resumed_soon() {
    const STREAMS: usize = 6;
    let (fleet, replicas) = fleet(1, paced_events()).await;
    let ids: Vec<String> = (0..STREAMS).map(|number| format!("id-{number}")).collect();
    let mut clients = join_all(ids.iter().map(|id| begin_stream(&fleet, id))).await;
    replicas[0].pause_for(FOR_GOOD);
    let since = Instant::now();
    let _other = fleet.start_replica("i-1", "s", paced_events()).await;
    let next = clients.iter_mut().map(async |client| {
        assert!(client.wait_for("piece 4").await);
        since.elapsed()
    });
    let took = join_all(next).await;
    let limit = SILENCE_LIMIT + Duration::from_millis(400);
    let log = fleet.routers[0].log_text();
    let waits = log.matches("has no successor: NoReplica").count();
    assert!(
        took.iter().all(|time| *time <= limit),
        "{took:?}, {waits} found no successor at first"
    );
}

/// Times for which the replicas worked on a request.
fn runs(
    replicas: &[Replica],
    id: &str,
) -> Vec<ReplicaRun> {
    let runs = replicas.iter().flat_map(Replica::run_times);
    runs.filter(|run| run.request_id == id).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn no_replica_works_on_for_a_caller_that_leaves_while_a_successor_is_asked() {
    let (fleet, replicas) = fleet(2, paced_events()).await;
    let client = begin_stream(&fleet, "id-1").await;
    let worker = worker(&replicas, "id-1").await;
    replicas[worker].pause_for(FOR_GOOD);
    replicas[1 - worker].set_default_answer(ReplicaAnswer::Silent);
    wait_until("the successor has the request", || {
        replicas[1 - worker].received_count("id-1") > 0
    })
    .await;
    drop(client);
    let left = Instant::now();
    wait_until("no replica works on the request", || {
        runs(&replicas, "id-1")
            .iter()
            .all(|run| run.ended.is_some())
    })
    .await;
    assert!(
        left.elapsed() < Duration::from_millis(500),
        "{:?}",
        left.elapsed()
    );
}

/// Two replicas may work on one request for 400 ms.
#[tokio::test(flavor = "multi_thread")]
async fn no_two_of_three_replicas_that_fall_silent_in_turn_work_on_a_stream_for_long() {
    const MAX_OVERLAP: Duration = Duration::from_millis(400);
    let (fleet, replicas) = fleet(3, paced_events()).await;
    let mut client = begin_stream_on(&fleet, "/three/", "id-1").await;
    let first = worker(&replicas, "id-1").await;
    replicas[first].pause_for(FOR_GOOD);
    let others = || (0..3).filter(|other| *other != first);
    let find = || others().find(|other| replicas[*other].received_count("id-1") > 0);
    wait_until("a successor has the request", || find().is_some()).await;
    let second = find().expect("one was found");
    replicas[second].pause_for(FOR_GOOD);
    assert_whole_stream(&fleet, &mut client).await;
    let runs = runs(&replicas, "id-1");
    assert_eq!(runs.len(), 3, "{runs:?}");
    for (index, one) in runs.iter().enumerate() {
        for other in &runs[..index] {
            let until = one.ended.expect("ended").min(other.ended.expect("ended"));
            let overlap = until.saturating_duration_since(one.began.max(other.began));
            assert!(overlap <= MAX_OVERLAP, "{overlap:?}");
        }
    }
}
