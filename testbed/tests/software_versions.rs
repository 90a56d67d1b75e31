//! Replicas of several software versions serve one service. A stream goes on only at the version
//! that began it, inside one answer and when its caller takes it up at another router; otherwise
//! it is cut, or refused as not run.

use {
    archmast_testbed::{
        direct::{
            Client, ClientAnswer, ClientRequest, DirectFleet, Piece, Replica, ReplicaAnswer,
            ReplicaEntry, RouteText, pieces, zone_name,
        },
        fleet::wait_until,
    },
    futures::future::join_all,
    std::{
        collections::{BTreeMap, BTreeSet},
        ops::Range,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Events of a whole stream, and the time between two of them.
const EVENTS: u32 = 12;
const EVENT_PAUSE: Duration = Duration::from_millis(200);

/// The event after which a caller leaves, or is cut off, for the first time and the second.
const FIRST_LEAVE: u32 = 4;
const SECOND_LEAVE: u32 = 8;

/// Streams that are taken up in each test.
const STREAMS: usize = 30;

/// Routers that a caller asks for one part of its stream before it gives up.
const MAX_TRIES: usize = 4;

/// A stream that cannot go on is refused within this time.
const REFUSAL_LIMIT: Duration = Duration::from_secs(1);

/// Longest time for which a caller heeds `Retry-After`: a third of its deadline.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(2600);

/// Deadline that callers state, in milliseconds.
const DEADLINE_MS: &str = "8000";

/// Replicas of each version in each zone.
const REPLICAS: usize = 2;

const PATH: &str = "/chat/";
const BOTH: &[&str] = &["v1", "v2"];

/// Whether an answer promises that the request did not run.
fn is_refused(answer: &ClientAnswer) -> bool {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    answer.status == 503 && body["error"]["ran"] == "no"
}

/// Whether the bytes of an answer begin with a promise that the request did not run.
fn is_refused_text(received: &str) -> bool {
    ["HTTP/1.1 503 ", "HTTP/1.1 429 "]
        .iter()
        .any(|status| received.starts_with(status))
}

/// A stream as its caller sees it, over all tries.
#[derive(Debug, Clone)]
struct Stream {
    id: String, // attempt id of the try that brought its first event
    pieces: Vec<Piece>,
    tries: usize,
    refusals: Vec<Option<u64>>, // result codes
    longest_refusal: Duration,
}

impl Stream {
    fn last(&self) -> u32 {
        self.pieces.last().map_or(0, |piece| piece.number)
    }

    fn versions(&self) -> BTreeSet<&str> {
        let versions = self.pieces.iter();
        versions
            .map(|piece| piece.version.as_deref().expect("replicas tell it"))
            .collect()
    }

    fn is_whole(&self) -> bool {
        self.last() == EVENTS
    }

    /// Begins a stream at a router, which may refuse it for a moment, and reads its events up to
    /// number `until`. Returns none if it does not come so far.
    async fn begin(
        fleet: &DirectFleet,
        router: usize,
        id: &str,
        until: u32,
    ) -> Option<(Self, Client)> {
        for _ in 0..MAX_TRIES {
            match Self::begin_once(fleet, router, id, until).await {
                Ok(begun) => return Some(begun),
                Err(received) if is_refused_text(&received) => sleep(MAX_RETRY_WAIT).await,
                Err(_) => return None,
            }
        }
        None
    }

    /// The same in one try. Fails with what was received.
    async fn begin_once(
        fleet: &DirectFleet,
        router: usize,
        id: &str,
        until: u32,
    ) -> Result<(Self, Client), String> {
        let failed = |error: std::io::Error| error.to_string();
        let address = fleet.caller_addresses[router];
        let mut client = Client::connect(address).await.map_err(failed)?;
        let request =
            ClientRequest::post(PATH, id, "{}").header("Archmast-Deadline-Ms", DEADLINE_MS);
        client.send(&request.bytes()).await.map_err(failed)?;
        if !client.wait_for(&format!("\nid: {until}\n")).await
            || !read_past(&mut client, until).await
        {
            return Err(client.received_text());
        }
        let mut begun = pieces(&client.received_text());
        begun.truncate(until as usize);
        let stream = Self {
            id: id.to_owned(),
            pieces: begun,
            tries: 1,
            refusals: Vec::new(),
            longest_refusal: Duration::ZERO,
        };
        Ok((stream, client))
    }

    /// A request that takes the stream up after its last event.
    fn take_up(&mut self) -> ClientRequest {
        self.tries += 1;
        let attempt = format!("{}-t{}", self.id, self.tries);
        ClientRequest::post(PATH, &attempt, "{}")
            .header("Archmast-Deadline-Ms", DEADLINE_MS)
            .header("Last-Event-Id", &self.last().to_string())
            .header("Resumes", &self.id)
    }

    /// Takes the stream up at the first of these routers that does not refuse it, and reads it
    /// to its end, or up to the event `until`.
    async fn go_on(
        &mut self,
        fleet: &DirectFleet,
        routers: &[usize],
        until: u32,
    ) {
        for router in routers.iter().cycle().take(MAX_TRIES) {
            let asked = Instant::now();
            let request = self.take_up();
            let Ok(mut client) = Client::connect(fleet.caller_addresses[*router]).await else {
                continue;
            };
            client.send(&request.bytes()).await.expect("sent");
            if until < EVENTS && read_past(&mut client, until).await {
                self.add(&client.received_text(), until);
                return;
            }
            let answer = client.answer().await;
            if !is_refused(&answer) {
                assert_eq!(answer.status, 200, "{:?}", answer.text());
                self.add(&answer.text(), until);
                return;
            }
            self.refusals.push(answer.code());
            self.longest_refusal = self.longest_refusal.max(asked.elapsed());
            sleep(answer.retry_after().unwrap_or_default().min(MAX_RETRY_WAIT)).await;
        }
    }

    fn add(
        &mut self,
        text: &str,
        until: u32,
    ) {
        let fresh = pieces(text).into_iter();
        self.pieces
            .extend(fresh.filter(|piece| piece.number <= until));
    }

    /// Its events come in order without a gap.
    fn check_order(&self) {
        let numbers = self.pieces.iter().map(|piece| piece.number);
        assert!(numbers.eq(1..=self.last()), "{self:?}");
    }
}

/// Reads until an event after number `last` begins. Returns false if the answer ends first.
async fn read_past(
    client: &mut Client,
    last: u32,
) -> bool {
    client.wait_for(&format!("\nid: {}\n", last + 1)).await
}

/// The zone of each router.
fn zones(routers: &[usize]) -> impl Iterator<Item = usize> {
    let zones = routers.iter().enumerate();
    zones.flat_map(|(zone, count)| std::iter::repeat_n(zone, *count))
}

/// Routers, and replicas of each of these versions, in each zone. All know each other.
async fn fleet(
    routers: &[usize],
    versions: &[&str],
    answer: ReplicaAnswer,
) -> (DirectFleet, Vec<Replica>) {
    // A router that hands connections on would begin a stream that its neighbour is asked for.
    let fleet = DirectFleet::start_in_zones(routers, "hand_on = 1.0\n").await;
    let mut replicas = Vec::new();
    for zone in 0..routers.len() {
        for version in versions.repeat(REPLICAS) {
            let id = format!("i-{}", replicas.len());
            let replica = Replica::start(fleet.standins(), &id, answer.clone()).await;
            replica.set_version(version);
            list(&fleet, &zone_name(zone), &replica, "ready");
            replicas.push(replica);
        }
    }
    fleet
        .store
        .publish(1, &[RouteText::new(PATH, "s", "streaming")]);
    fleet.wait_until_ready().await;
    for (router, zone) in zones(routers).enumerate() {
        let logged = |text: &str| fleet.routers[router].log_text().matches(text).count();
        wait_until("the replicas are known", || {
            logged("upstream Ready") >= replicas.len()
        })
        .await;
        wait_until("the routers of the zone are known", || {
            logged("router heard of") + 1 >= routers[zone]
        })
        .await;
        wait_until("the other zones are known", || {
            logged("another zone is heard of") + 1 >= routers.len()
        })
        .await;
    }
    (fleet, replicas)
}

fn list(
    fleet: &DirectFleet,
    zone: &str,
    replica: &Replica,
    state: &str,
) {
    fleet.store.list(&ReplicaEntry {
        version: &replica.version(),
        state,
        ..ReplicaEntry::new(zone, &replica.id, "s", replica.address)
    });
}

fn whole_events() -> ReplicaAnswer {
    ReplicaAnswer::Events {
        last: EVENTS,
        pause: EVENT_PAUSE,
    }
}

/// Begins streams at these routers in turn and reads the first events of each, all at once.
/// Those that did not come so far are left out.
async fn begin_streams(
    fleet: &DirectFleet,
    routers: Range<usize>,
) -> Vec<(Stream, Client)> {
    let begun = (0..STREAMS).map(async |number| {
        let router = routers.start + number % routers.len();
        Stream::begin(fleet, router, &format!("s-{number}"), FIRST_LEAVE).await
    });
    let begun = join_all(begun).await;
    begun.into_iter().flatten().collect()
}

/// Reads a stream whose router was killed to where it broke off.
async fn read_to_cut((mut stream, mut client): (Stream, Client)) -> Stream {
    let answer = client.answer().await;
    stream.pieces = pieces(&answer.text());
    stream
}

/// Each of the streams went on at its own version or was refused, soon; and the share that went on
/// is at least half of the share of new streams that began, `begun` of [`STREAMS`].
fn check_taken_up(
    begun: usize,
    streams: &[Stream],
) {
    for stream in streams {
        stream.check_order();
    }
    let mixed = streams.iter().filter(|stream| stream.versions().len() > 1);
    let mixed = mixed.count();
    let whole = streams.iter().filter(|stream| stream.is_whole()).count();
    let refusals: Vec<_> = streams.iter().flat_map(|stream| &stream.refusals).collect();
    let longest = streams.iter().map(|stream| stream.longest_refusal).max();
    println!(
        "{begun} streams begun, {} taken up: {whole} whole, {mixed} with events of two versions, refused with {refusals:?}",
        streams.len()
    );
    assert_eq!(mixed, 0, "streams with events of two versions");
    assert!(longest <= Some(REFUSAL_LIMIT), "{longest:?}");
    assert!(!streams.is_empty());
    assert!(whole * 2 * STREAMS >= begun * streams.len());
}

/// Takes up broken streams at these routers, each stream at another one first.
async fn take_up_at(
    fleet: &DirectFleet,
    routers: Range<usize>,
    streams: &mut [Stream],
) {
    let numbered = streams.iter_mut().enumerate();
    join_all(numbered.map(async |(number, stream)| {
        let mut order: Vec<usize> = routers.clone().collect();
        order.rotate_left(number % routers.len());
        stream.go_on(fleet, &order, EVENTS).await;
    }))
    .await;
}

/// Callers leave their streams twice, and take them up at another router each time.
async fn leave_twice(versions: &[&str]) -> Vec<Stream> {
    let (fleet, _replicas) = fleet(&[3, 3], versions, whole_events()).await;
    let begun = begin_streams(&fleet, 0..6).await;
    let taken_up = begun.into_iter().map(async |(mut stream, client)| {
        drop(client);
        let number: usize = stream.id["s-".len()..].parse().expect("a number");
        // Also routers of the other zone are asked: 1, 3 and 5 for one that began at 0.
        let at = |distance| (number + distance) % 6;
        stream.go_on(&fleet, &[at(1), at(3)], SECOND_LEAVE).await;
        stream.go_on(&fleet, &[at(3), at(5)], EVENTS).await;
        stream
    });
    join_all(taken_up).await
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_callers_take_up_at_other_routers_keep_their_version() {
    let streams = leave_twice(BOTH).await;
    check_taken_up(streams.len(), &streams);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_streams_go_on_at_other_routers_where_one_version_serves() {
    let streams = leave_twice(&["v1"]).await;
    check_taken_up(streams.len(), &streams);
    assert_eq!(streams.len(), STREAMS);
    assert!(streams.iter().all(Stream::is_whole));
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_whose_router_is_killed_keep_their_version() {
    let (mut fleet, _replicas) = fleet(&[3, 3], BOTH, whole_events()).await;
    let begun = begin_streams(&fleet, 0..1).await;
    let count = begun.len();
    fleet.routers[0].kill();
    let mut streams = join_all(begun.into_iter().map(read_to_cut)).await;
    streams.retain(|stream| !stream.is_whole());
    take_up_at(&fleet, 1..6, &mut streams).await;
    check_taken_up(count, &streams);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_began_in_a_zone_whose_routers_are_killed_keep_their_version() {
    let (mut fleet, _replicas) = fleet(&[2, 2], BOTH, whole_events()).await;
    let begun = begin_streams(&fleet, 0..2).await;
    let count = begun.len();
    for router in 0..2 {
        fleet.routers[router].kill();
    }
    let mut streams = join_all(begun.into_iter().map(read_to_cut)).await;
    streams.retain(|stream| !stream.is_whole());
    take_up_at(&fleet, 2..4, &mut streams).await;
    check_taken_up(count, &streams);
}

/// Takes a stream up at a router that must refuse it at once, before it reaches a replica.
async fn check_refused(
    fleet: &DirectFleet,
    replicas: &[Replica],
    router: usize,
    stream: &mut Stream,
) {
    let asked = Instant::now();
    let request = stream.take_up();
    let answer = Client::call_once(fleet.caller_addresses[router], &request).await;
    let took = asked.elapsed();
    assert!(is_refused(&answer), "{} {}", answer.status, answer.text());
    assert!(took <= REFUSAL_LIMIT, "{took:?}");
    let attempt = answer.header("archmast-attempt-id");
    assert!(!attempt.is_empty());
    let arrived = replicas
        .iter()
        .map(|replica| replica.received_count(attempt));
    assert_eq!(arrived.sum::<usize>(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_no_router_knows_is_refused_as_not_run() {
    let (fleet, replicas) = fleet(&[2, 2], BOTH, whole_events()).await;
    let mut unknown = Stream {
        id: "unheard-of".to_owned(),
        pieces: vec![Piece {
            number: FIRST_LEAVE,
            version: Some("v1".to_owned()),
        }],
        tries: 1,
        refusals: Vec::new(),
        longest_refusal: Duration::ZERO,
    };
    for router in 0..4 {
        check_refused(&fleet, &replicas, router, &mut unknown).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_version_has_left_is_refused_as_not_run() {
    let (fleet, replicas) = fleet(&[2, 2], BOTH, whole_events()).await;
    let begun = Stream::begin(&fleet, 0, "s-0", FIRST_LEAVE).await;
    let (mut stream, client) = begun.expect("a stream begins");
    drop(client);
    let version = stream.pieces[0].version.clone();
    let of_version = |replica: &&Replica| Some(replica.version()) == version;
    let per_zone = replicas.len() / 2;
    for (number, replica) in replicas.iter().enumerate() {
        if of_version(&replica) {
            list(&fleet, &zone_name(number / per_zone), replica, "draining");
        }
    }
    for router in &fleet.routers {
        wait_until("the router knows that they leave", || {
            router.log_text().matches("upstream Draining").count()
                >= replicas.iter().filter(of_version).count()
        })
        .await;
    }
    for router in 0..4 {
        check_refused(&fleet, &replicas, router, &mut stream).await;
    }
}

/// Answers of some streams that were sent to one router all at once.
async fn answers_of(
    fleet: &DirectFleet,
    count: usize,
) -> Vec<ClientAnswer> {
    let asked = (0..count).map(async |number| {
        let request = ClientRequest::post(PATH, &format!("s-{number}"), "{}");
        Client::call_once(fleet.caller_addresses[0], &request).await
    });
    join_all(asked).await
}

/// How many answers hold events of these versions, and how many of them are whole.
type Counts = BTreeMap<BTreeSet<String>, (usize, usize)>;

fn by_versions(answers: &[ClientAnswer]) -> Counts {
    let mut counts = Counts::new();
    for answer in answers {
        assert_eq!(answer.status, 200, "{}", answer.text());
        let pieces = pieces(&answer.text());
        let numbers = pieces.iter().map(|piece| piece.number);
        assert!(numbers.eq(1..=pieces.len() as u32), "{}", answer.text());
        let is_last = pieces.len() as u32 == EVENTS;
        assert_eq!(answer.is_complete, is_last, "{}", answer.text());
        let versions = pieces.into_iter().filter_map(|piece| piece.version);
        let versions: BTreeSet<String> = versions.collect();
        let (all, whole) = counts.entry(versions).or_insert((0, 0));
        *all += 1;
        *whole += usize::from(answer.is_complete);
    }
    counts
}

/// Sends streams of which each replica breaks off some, as its first ones. At least half of those
/// that break off must go on.
async fn with_broken_streams(versions: &[&str]) -> Counts {
    const BROKEN: usize = 4;
    const COUNT: usize = 60;
    let (fleet, replicas) = fleet(&[1], versions, whole_events()).await;
    for replica in &replicas {
        for _ in 0..BROKEN {
            replica.push_answer(ReplicaAnswer::EventsCut {
                after: FIRST_LEAVE,
                last: EVENTS,
            });
        }
    }
    let counts = by_versions(&answers_of(&fleet, COUNT).await);
    let received = replicas.iter().flat_map(Replica::received);
    let resumed = received.filter(|seen| !seen.header("last-event-id").is_empty());
    let resumed = resumed.count();
    let cut = counts.values().map(|(all, whole)| all - whole);
    let cut: usize = cut.sum();
    println!("{resumed} resumed, {cut} cut; answers and whole ones by versions: {counts:?}");
    assert!(resumed >= BROKEN && cut <= resumed);
    counts
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_goes_on_in_its_answer_at_its_version() {
    let counts = with_broken_streams(BOTH).await;
    assert!(counts.keys().all(|versions| versions.len() == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_goes_on_in_its_answer_where_one_version_serves() {
    let counts = with_broken_streams(&["v1"]).await;
    assert!(counts.values().all(|(all, whole)| all == whole));
}

/// One version serves with a single replica, which breaks off all its streams.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_whose_version_has_no_other_replica_is_cut() {
    let (fleet, replicas) = fleet(&[1], BOTH, whole_events()).await;
    let (lone, others) = replicas.split_first().expect("replicas");
    lone.set_version("v3");
    lone.set_default_answer(ReplicaAnswer::EventsCut {
        after: FIRST_LEAVE,
        last: EVENTS,
    });
    list(&fleet, &zone_name(0), lone, "ready");
    // Written to the store after it, so that the router knows the new version by then.
    list(&fleet, &zone_name(0), &others[0], "draining");
    wait_until("the router knows the new version", || {
        fleet.routers[0].log_text().contains("upstream Draining")
    })
    .await;
    let counts = by_versions(&answers_of(&fleet, STREAMS).await);
    println!("answers and whole answers by versions: {counts:?}");
    assert!(counts.keys().all(|versions| versions.len() == 1));
    let (all, whole) = counts[&BTreeSet::from(["v3".to_owned()])];
    assert!(all > 0);
    assert_eq!(whole, 0);
}
