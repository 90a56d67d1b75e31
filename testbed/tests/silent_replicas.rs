//! A sound replica may write nothing for a second or two and then go on. Its requests are answered
//! all the same, whether or not another replica could take them over.

use {
    archmast_testbed::{
        direct::{
            Client, ClientAnswer, ClientRequest, ConfigText, DirectFleet, Framing, Replica,
            ReplicaAnswer, ReplicaRun, RouteText, event,
        },
        fleet::{wait_until, wait_until_async},
    },
    futures::future::join_all,
    serde_json::json,
    std::{
        net::{IpAddr, SocketAddr},
        ops::RangeInclusive,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Router settings that leave the fleet no retry.
const NO_RETRIES: &str = "[retry]\nratio = 0.0\nextra = 0\n";

/// Number of the last event of a stream.
const LAST: u32 = 8;

/// Pause of a sound replica before each event.
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Pauses of replicas in the directed cases.
const PAUSES: [Duration; 3] = [
    Duration::from_millis(1200),
    Duration::from_millis(1500),
    Duration::from_millis(1800),
];

/// Longer than any caller waits.
const FOR_GOOD: Duration = Duration::from_secs(600);

/// Deadline of callers, in milliseconds. None is reached in cases where replicas go on.
const DEADLINE_MS: u64 = 7500;

/// For how long two replicas may work on one request.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Statuses of requests that did not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Body of plain answers.
const PLAIN_BODY: &str = "a plain answer";

fn events(numbers: RangeInclusive<u32>) -> String {
    numbers.map(event).collect()
}

fn request(
    path: &str,
    id: &str,
    deadline_ms: u64,
) -> ClientRequest {
    let deadline = deadline_ms.to_string();
    ClientRequest::post(path, id, "prompt").header("Archmast-Deadline-Ms", &deadline)
}

fn routes(
    stream_service: &'static str,
    plain_service: &'static str,
) -> Vec<RouteText> {
    let once = RouteText {
        resumable: false,
        ..RouteText::new("/once/", stream_service, "streaming")
    };
    vec![
        RouteText::new("/chat/", stream_service, "streaming"),
        once,
        RouteText::new("/read/", plain_service, "idempotent"),
        RouteText::new("/charge/", plain_service, "non_idempotent"),
    ]
}

/// A router with these settings and replicas that answer so.
async fn fleet(
    settings: &str,
    replica_count: usize,
    answer: ReplicaAnswer,
) -> (DirectFleet, Vec<Replica>) {
    let fleet = DirectFleet::start(1, settings).await;
    let mut replicas = Vec::new();
    for number in 0..replica_count {
        let id = format!("i-{number}");
        replicas.push(fleet.start_replica(&id, "s", answer.clone()).await);
    }
    fleet.store.publish(1, &routes("s", "s"));
    fleet.wait_until_ready().await;
    wait_until("all replicas are known", || {
        let log = fleet.routers[0].log_text();
        log.matches("upstream Ready").count() >= replica_count
    })
    .await;
    (fleet, replicas)
}

fn paced_events(framing: Framing) -> ReplicaAnswer {
    ReplicaAnswer::EventsPaced {
        framing,
        last: LAST,
        pause: EVENT_PAUSE,
    }
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

/// Sends a stream's request, and waits for its event 2. Returns the index of its replica.
async fn begin_stream(
    router: SocketAddr,
    replicas: &[Replica],
    request: &ClientRequest,
    id: &str,
) -> (Client, usize) {
    let mut client = Client::connect(router).await.expect("a connection");
    client.send(&request.bytes()).await.expect("sent");
    assert!(client.wait_for("piece 2").await, "{id}");
    (client, worker(replicas, id).await)
}

/// Whether two replicas worked on one request for too long.
fn has_long_overlap(
    replicas: &[Replica],
    id: &str,
) -> bool {
    let of_replica = |replica: &Replica| {
        let runs = replica.run_times().into_iter();
        runs.filter(|run| run.request_id == id).collect()
    };
    let runs: Vec<Vec<ReplicaRun>> = replicas.iter().map(of_replica).collect();
    let now = Instant::now();
    let overlap = |one: &ReplicaRun, other: &ReplicaRun| {
        let until = one.ended.unwrap_or(now).min(other.ended.unwrap_or(now));
        until.saturating_duration_since(one.began.max(other.began))
    };
    (0..runs.len()).any(|later| {
        let earlier = runs[..later].iter().flatten();
        earlier
            .flat_map(|one| runs[later].iter().map(move |other| (one, other)))
            .any(|(one, other)| overlap(one, other) > MAX_OVERLAP)
    })
}

fn assert_whole_stream(
    answer: &ClientAnswer,
    replicas: &[Replica],
    id: &str,
) {
    let text = answer.text();
    assert!(answer.is_whole_success(), "{id}: {answer:?} {text}");
    assert_eq!(text, events(1..=LAST), "{id}");
    assert!(!has_long_overlap(replicas, id), "{id}");
}

/// How the second replica treats a request that it is sent while the first is silent.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Successor {
    None,    // there is no second replica
    NoRetry, // the retry budget is used up
    Resting, // it has asked for a backoff
    Refuses, // with status 503
    Closes,  // the connection, without an answer
}

impl Successor {
    const ALL: [Self; 5] = [
        Self::None,
        Self::NoRetry,
        Self::Resting,
        Self::Refuses,
        Self::Closes,
    ];

    async fn fleet(
        self,
        answer: ReplicaAnswer,
    ) -> (DirectFleet, Vec<Replica>) {
        let settings = if self == Self::NoRetry {
            NO_RETRIES
        } else {
            ""
        };
        let replica_count = if self == Self::None { 1 } else { 2 };
        let (fleet, replicas) = fleet(settings, replica_count, answer).await;
        if self == Self::Resting {
            replicas[1].set_backoff(Some(60.0));
            let router = fleet.caller_addresses[0];
            wait_until_async("the router knows that the replica rests", async || {
                Client::call_once(router, &request("/chat/", "before", DEADLINE_MS)).await;
                fleet.routers[0]
                    .log_text()
                    .contains("replica said of itself")
            })
            .await;
        }
        (fleet, replicas)
    }

    /// Prepares the replica that does not work on the request for being sent it.
    fn prepare(
        self,
        replicas: &[Replica],
        worker: usize,
    ) {
        let answer = match self {
            Self::Refuses => ReplicaAnswer::NotExecuted { status: 503 },
            Self::Closes => ReplicaAnswer::Close,
            Self::None | Self::NoRetry | Self::Resting => return,
        };
        replicas[1 - worker].push_answer(answer);
    }
}

/// A replica falls silent after event 2 of a stream.
async fn play_silent_stream(
    successor: Successor,
    framing: Framing,
    path: &str,
    pause: Duration,
) {
    let (fleet, replicas) = successor.fleet(paced_events(framing)).await;
    let router = fleet.caller_addresses[0];
    let id = format!("{successor:?}-{framing:?}-{pause:?}");
    let request = request(path, &id, DEADLINE_MS);
    let (mut client, worker) = begin_stream(router, &replicas, &request, &id).await;
    successor.prepare(&replicas, worker);
    replicas[worker].pause_for(pause);
    assert_whole_stream(&client.answer().await, &replicas, &id);
}

/// The same for each framing.
async fn play_silent_streams(successor: Successor) {
    let cases = Framing::ALL.into_iter().zip(PAUSES);
    let plays = cases.map(|(framing, pause)| async move {
        play_silent_stream(successor, framing, "/chat/", pause).await;
    });
    join_all(plays).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_without_another_replica_goes_on() {
    play_silent_streams(Successor::None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_goes_on_where_the_retry_budget_is_used_up() {
    play_silent_streams(Successor::NoRetry).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_goes_on_while_the_other_replica_rests() {
    play_silent_streams(Successor::Resting).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_goes_on_where_the_other_replica_refuses() {
    play_silent_streams(Successor::Refuses).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_goes_on_where_the_other_replica_closes() {
    play_silent_streams(Successor::Closes).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_goes_on_while_the_other_replica_has_no_room() {
    let (fleet, replicas) = fleet("", 2, paced_events(Framing::Chunks)).await;
    fleet.store.publish_config(&ConfigText {
        service_fields: json!({"max_connections": 1}),
        ..ConfigText::new(2, &[RouteText::new("/few/", "s", "streaming")])
    });
    let router = fleet.caller_addresses[0];
    fleet.wait_until_served(0, "/few/", 200).await;
    let long = ReplicaAnswer::Events {
        last: 40,
        pause: EVENT_PAUSE,
    };
    replicas.iter().for_each(|r| r.push_answer(long.clone()));
    let first = request("/few/", "first", DEADLINE_MS);
    let (mut first, full) = begin_stream(router, &replicas, &first, "first").await;
    replicas[1 - full].clear_script();
    let silent = request("/few/", "silent", DEADLINE_MS);
    let (mut silent, worker) = begin_stream(router, &replicas, &silent, "silent").await;
    assert_ne!(worker, full);
    replicas[worker].pause_for(PAUSES[1]);
    assert_whole_stream(&silent.answer().await, &replicas, "silent");
    assert!(first.answer().await.is_whole_success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_that_runs_once_goes_on() {
    let cases = Framing::ALL.into_iter().zip(PAUSES);
    let plays = cases.map(|(framing, pause)| async move {
        play_silent_stream(Successor::NoRetry, framing, "/once/", pause).await;
    });
    join_all(plays).await;
}

/// Sends a request, and makes its replica pause as soon as it has it, or all of them before.
async fn call_late(
    fleet: &DirectFleet,
    replicas: &[Replica],
    successor: Successor,
    path: &str,
    pause: Duration,
    is_head_late: bool,
) -> (ClientAnswer, String) {
    let id = format!(
        "{successor:?}{}-{pause:?}-{is_head_late}",
        path.replace('/', "-")
    );
    let router = fleet.caller_addresses[0];
    let request = request(path, &id, DEADLINE_MS);
    let mut client = Client::connect(router).await.expect("a connection");
    if is_head_late {
        for replica in replicas {
            replica.pause_for(pause);
        }
    }
    client.send(&request.bytes()).await.expect("sent");
    if !is_head_late {
        let worker = worker(replicas, &id).await;
        successor.prepare(replicas, worker);
        replicas[worker].pause_for(pause);
    }
    let answer = client.answer().await;
    for replica in replicas {
        replica.clear_script();
    }
    (answer, id)
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_whose_first_event_is_late_are_whole() {
    let plays = Successor::ALL.map(|successor| async move {
        let (fleet, replicas) = successor.fleet(paced_events(Framing::Chunks)).await;
        for pause in PAUSES {
            let (answer, id) =
                call_late(&fleet, &replicas, successor, "/chat/", pause, false).await;
            assert_whole_stream(&answer, &replicas, &id);
        }
    });
    join_all(plays).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_whose_head_is_late_are_whole() {
    let plays = [Successor::None, Successor::NoRetry].map(|successor| async move {
        let (fleet, replicas) = successor.fleet(paced_events(Framing::Chunks)).await;
        for pause in PAUSES {
            let (answer, id) = call_late(&fleet, &replicas, successor, "/chat/", pause, true).await;
            assert_whole_stream(&answer, &replicas, &id);
        }
    });
    join_all(plays).await;
}

async fn play_late_plain_answers(path: &str) {
    let plays = Successor::ALL.map(|successor| async move {
        let slow = ReplicaAnswer::Slow {
            body: PLAIN_BODY.to_owned(),
            after: EVENT_PAUSE,
        };
        let (fleet, replicas) = successor.fleet(slow).await;
        for pause in PAUSES {
            let (answer, id) = call_late(&fleet, &replicas, successor, path, pause, false).await;
            assert!(answer.is_whole_success(), "{id}: {answer:?}");
            assert_eq!(answer.text(), PLAIN_BODY, "{id}");
            assert!(!has_long_overlap(&replicas, &id), "{id}");
        }
    });
    join_all(plays).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn late_idempotent_answers_arrive() {
    play_late_plain_answers("/read/").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn late_non_idempotent_answers_arrive() {
    play_late_plain_answers("/charge/").await;
}

/// A replica falls silent for good, or exits. Returns the time until the caller has event
/// `after` + 1, where `after` is the last that the replica sent.
async fn time_to_next_event(ends: fn(&Replica)) -> Duration {
    let (fleet, replicas) = fleet("", 2, paced_events(Framing::Chunks)).await;
    let router = fleet.caller_addresses[0];
    let request = request("/chat/", "id-1", DEADLINE_MS);
    let (mut client, worker) = begin_stream(router, &replicas, &request, "id-1").await;
    ends(&replicas[worker]);
    let since = Instant::now();
    assert!(client.wait_for("piece 4").await);
    let took = since.elapsed();
    assert_whole_stream(&client.answer().await, &replicas, "id-1");
    assert_eq!(replicas[1 - worker].received_count("id-1"), 1);
    took
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_replica_is_silent_for_good_is_resumed_soon() {
    let took = time_to_next_event(|replica| replica.pause_for(FOR_GOOD)).await;
    assert!(took <= Duration::from_millis(1300 + 400), "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_replica_exits_is_resumed_at_once() {
    let took = time_to_next_event(Replica::crash).await;
    assert!(took <= Duration::from_millis(600), "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_replica_that_is_silent_for_good_end_at_their_deadline() {
    const SHORT_DEADLINE_MS: u64 = 3500;
    let (fleet, replicas) = fleet("", 1, paced_events(Framing::Chunks)).await;
    let router = fleet.caller_addresses[0];
    let replicas = &replicas;
    let begun = ["/chat/", "/once/", "/read/", "/charge/"].map(|path| async move {
        let id = path.trim_matches('/');
        let request = request(path, id, SHORT_DEADLINE_MS);
        let sent = Instant::now();
        if path == "/chat/" || path == "/once/" {
            let (client, _) = begin_stream(router, replicas, &request, id).await;
            return (path, sent, client);
        }
        let mut client = Client::connect(router).await.expect("a connection");
        client.send(&request.bytes()).await.expect("sent");
        worker(replicas, id).await;
        (path, sent, client)
    });
    let begun = join_all(begun).await;
    replicas[0].pause_for(FOR_GOOD);
    let plays = begun
        .into_iter()
        .map(|(path, sent, mut client)| async move {
            let answer = client.answer().await;
            (path, answer, sent.elapsed())
        });
    for (path, answer, took) in join_all(plays).await {
        assert!(!answer.is_whole_success(), "{path}: {answer:?}");
        let limits = SHORT_DEADLINE_MS - 300..=SHORT_DEADLINE_MS + 400;
        assert!(
            limits.contains(&(took.as_millis() as u64)),
            "{path}: {took:?}, {}",
            answer.status
        );
    }
    assert!(fleet.is_ready(0).await);
}

/// The stand-in itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_pausing_replica_writes_nothing_and_then_goes_on() {
    const PAUSE: Duration = Duration::from_millis(600);
    let ip = IpAddr::from([127, 0, 0, 1]);
    let replica = Replica::start(ip, "i-0", paced_events(Framing::Chunks)).await;
    let stream = request("/chat/", "id-1", DEADLINE_MS).header("Archmast-Expected-Replica", "i-0");
    let mut amid = Client::connect(replica.address)
        .await
        .expect("a connection");
    amid.send(&stream.bytes()).await.expect("sent");
    assert!(amid.wait_for("piece 2").await);
    replica.pause_for(PAUSE);
    let since = Instant::now();
    let others = ["/health", "/v1/kv-list", "/chat/"].map(|path| {
        let request = ClientRequest::get(path, "id-2");
        let request = request.header("Archmast-Expected-Replica", "i-0");
        let address = replica.address;
        async move {
            let mut client = Client::connect(address).await.expect("a connection");
            client.send(&request.bytes()).await.expect("sent");
            assert!(client.wait_for("HTTP/1.1 200").await);
            assert!(since.elapsed() >= PAUSE);
            client.answer().await
        }
    });
    let goes_on = async {
        assert!(amid.wait_for("piece 4").await);
        assert!(since.elapsed() >= PAUSE);
        amid.answer().await
    };
    let (others, amid) = tokio::join!(join_all(others), goes_on);
    assert!(
        others.iter().all(ClientAnswer::is_whole_success),
        "{others:?}"
    );
    assert!(amid.is_whole_success());
    assert_eq!(amid.text(), events(1..=LAST));
    assert_eq!(replica.total_connections(), 4);
    let has_ended = |run: &ReplicaRun| run.ended.is_some();
    wait_until("all runs have ended", || {
        replica.run_times().iter().all(has_ended)
    })
    .await;
    let runs = replica.run_times();
    assert_eq!(runs.len(), 2);
    assert!(runs[0].began < since && runs[1].began >= since + PAUSE);
}

/// Which replicas fall silent together.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Silence {
    Nobody,
    All,
    TwoThirds,
    OneAtATime,
}

/// Replicas of each service under load, and callers of each route.
const STREAM_REPLICAS: usize = 9;
const PLAIN_REPLICAS: usize = 3;
const STREAM_CALLERS: usize = 48;
const OTHER_CALLERS: usize = 8;

/// Router settings that leave the fleet a few retries.
const FEW_RETRIES: &str = "[retry]\nratio = 0.02\nextra = 2\n";

/// For how long callers send further requests.
const LOAD_TIME: Duration = Duration::from_millis(3500);

/// Time before the first pauses and between two, and their lengths.
const CALM: Duration = Duration::from_millis(500);
const SILENCES: [Duration; 2] = [Duration::from_millis(1800), Duration::from_millis(1300)];

/// Time between two versions of the configuration.
const VERSION_GAP: Duration = Duration::from_millis(500);

/// Delay of a caller after an answer that is no success.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Fewest whole answers on each route for a play to count.
const MIN_SERVED: usize = 8;

/// A request and its answer.
struct Seen {
    path: &'static str,
    id: String,
    took: Duration,
    answer: ClientAnswer,
}

/// Calls a route on a kept connection until `until`.
async fn call_repeatedly(
    router: SocketAddr,
    path: &'static str,
    caller: usize,
    until: Instant,
    seen: Arc<Mutex<Vec<Seen>>>,
) {
    let mut kept = None;
    for number in 0.. {
        if Instant::now() >= until {
            return;
        }
        let mut client = match kept.take() {
            Some(client) => client,
            None => Client::connect(router).await.expect("a connection"),
        };
        let id = format!("{}{caller}-{number}", path.replace('/', "-"));
        let sent = Instant::now();
        let answer = client.call(&request(path, &id, DEADLINE_MS)).await;
        let took = sent.elapsed();
        let is_success = answer.is_whole_success();
        let closes = answer.header("connection") == "close";
        seen.lock().expect("lock").push(Seen {
            path,
            id,
            took,
            answer,
        });
        if !is_success {
            sleep(RETRY_DELAY).await;
        } else if !closes {
            kept = Some(client);
        }
    }
}

async fn pause_replicas(
    silence: Silence,
    replicas: &[Replica],
) {
    let (streams, plain) = replicas.split_at(STREAM_REPLICAS);
    for (round, length) in SILENCES.into_iter().enumerate() {
        sleep(CALM).await;
        let count = |service: &[Replica]| match silence {
            Silence::Nobody => 0,
            Silence::All => service.len(),
            Silence::TwoThirds => service.len() * 2 / 3,
            Silence::OneAtATime => 1,
        };
        for service in [streams, plain] {
            let chosen = service.iter().cycle().skip(round).take(count(service));
            chosen.for_each(|replica| replica.pause_for(length));
        }
        sleep(length).await;
    }
}

/// Publishes a version with one more route and another time-out each time.
async fn publish_versions(fleet: &DirectFleet) {
    for version in 2.. {
        sleep(VERSION_GAP).await;
        let mut routes = routes("events", "plain");
        for route in &mut routes {
            route.timeout_ms += version * 10;
        }
        for added in 2..=version {
            let prefix: &'static str = Box::leak(format!("/added-{added}/").into_boxed_str());
            routes.push(RouteText::new(prefix, "plain", "idempotent"));
        }
        fleet.store.publish(u64::from(version), &routes);
    }
}

/// Plays callers of all routes beside replicas that fall silent, and checks all answers.
async fn play(
    silence: Silence,
    changes: bool,
) {
    let fleet = DirectFleet::start(2, FEW_RETRIES).await;
    let mut replicas = Vec::new();
    let stream = ReplicaAnswer::Events {
        last: LAST,
        pause: EVENT_PAUSE,
    };
    let plain = ReplicaAnswer::Slow {
        body: PLAIN_BODY.to_owned(),
        after: EVENT_PAUSE,
    };
    let services = std::iter::repeat_n(("events", stream), STREAM_REPLICAS)
        .chain(std::iter::repeat_n(("plain", plain), PLAIN_REPLICAS));
    for (number, (service, answer)) in services.enumerate() {
        let id = format!("i-{number}");
        replicas.push(fleet.start_replica(&id, service, answer).await);
    }
    fleet.store.publish(1, &routes("events", "plain"));
    fleet.wait_until_ready().await;
    for router in 0..2 {
        fleet.wait_until_served(router, "/chat/", 200).await;
        fleet.wait_until_served(router, "/read/", 200).await;
    }
    let seen = Arc::new(Mutex::new(Vec::new()));
    let until = Instant::now() + LOAD_TIME;
    let mut callers = JoinSet::new();
    for (path, count) in [
        ("/chat/", STREAM_CALLERS),
        ("/once/", OTHER_CALLERS),
        ("/read/", OTHER_CALLERS),
        ("/charge/", OTHER_CALLERS),
    ] {
        for caller in 0..count {
            let router = fleet.caller_addresses[caller % 2];
            callers.spawn(call_repeatedly(router, path, caller, until, seen.clone()));
        }
    }
    let work = async {
        tokio::join!(pause_replicas(silence, &replicas), callers.join_all());
    };
    if changes {
        tokio::select! {
            () = work => {}
            () = publish_versions(&fleet) => unreachable!("it publishes without end"),
        }
    } else {
        work.await;
    }
    let seen = std::mem::take(&mut *seen.lock().expect("lock"));
    check(&seen, &replicas);
}

fn check(
    seen: &[Seen],
    replicas: &[Replica],
) {
    let mut broken = Vec::new();
    for seen in seen {
        let Seen {
            path,
            id,
            took,
            answer,
        } = seen;
        let (text, status) = (answer.text(), answer.status);
        let is_stream = *path == "/chat/" || *path == "/once/";
        let arrivals: usize = replicas.iter().map(|r| r.received_count(id)).sum();
        let whole = if is_stream {
            events(1..=LAST)
        } else {
            PLAIN_BODY.to_owned()
        };
        let is_refused = NOT_RUN_STATUSES.contains(&status) && arrivals == 0;
        if answer.is_whole_success() {
            if text != whole {
                broken.push(format!("mixed: {id} got {text:?}"));
            }
        } else if !is_refused {
            let code = answer.code();
            let pieces = text.matches("piece").count();
            broken.push(format!(
                "lost: {id} got {status} (code {code:?}, {pieces} events, {arrivals} arrivals) after {took:?}"
            ));
        }
        if status == 200 && !whole.starts_with(&text) {
            broken.push(format!("order: {id} got {text:?}"));
        }
        if arrivals > 1 && (*path == "/once/" || *path == "/charge/") {
            broken.push(format!("twice: {id} arrived {arrivals} times"));
        }
        if has_long_overlap(replicas, id) {
            broken.push(format!("twice: two replicas worked on {id}"));
        }
    }
    let mut counts = Vec::new();
    for path in ["/chat/", "/once/", "/read/", "/charge/"] {
        let of_path = || seen.iter().filter(|seen| seen.path == path);
        let whole = of_path().filter(|seen| seen.answer.is_whole_success());
        counts.push((path, whole.count(), of_path().count()));
    }
    println!("whole answers: {counts:?}");
    assert!(broken.is_empty(), "{} broken: {broken:#?}", broken.len());
    let is_enough = counts.iter().all(|(_, whole, _)| *whole >= MIN_SERVED);
    assert!(is_enough, "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_beside_new_versions_are_answered() {
    play(Silence::Nobody, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_beside_a_silence_of_all_replicas_are_answered() {
    play(Silence::All, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_beside_a_silence_of_all_replicas_and_new_versions_are_answered() {
    play(Silence::All, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_beside_a_silence_of_two_thirds_are_answered() {
    play(Silence::TwoThirds, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_beside_a_silence_of_two_thirds_and_new_versions_are_answered() {
    play(Silence::TwoThirds, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_beside_a_silence_of_one_replica_are_answered() {
    play(Silence::OneAtATime, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_beside_a_silence_of_one_replica_and_new_versions_are_answered() {
    play(Silence::OneAtATime, true).await;
}
