//! What records of streams cost: their memory, and their messages in a fleet of 300 routers in 10
//! availability zones with 2,500 streams a second. `--nocapture` prints the figures that
//! docs/design/stream-versions.md names.

use {
    archmast::{
        peers::{
            PeerMessage, QueryScope, StreamAnswerMessage, StreamOriginsMessage, StreamQueryMessage,
        },
        policy::{
            Moment,
            streams::{
                OriginFinding, OriginHomes, OriginTable, RouterProcess, SoftwareVersion, StreamKey,
                StreamOrigin, ZoneContacts,
            },
        },
        wire::encode_payload,
    },
    std::{
        alloc::{GlobalAlloc, Layout, System},
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::atomic::{AtomicUsize, Ordering},
        time::{Duration, Instant},
    },
};

const ZONES: u32 = 10;
const ROUTERS_PER_ZONE: u32 = 30;
const STREAMS_PER_SECOND: f64 = 2500.0;

/// Headers of UDP and IP.
const HEADER_BYTES: usize = 28;

/// Time left of a call when its stream begins.
const LIFE: Duration = Duration::from_secs(20);

/// Counts allocated bytes.
struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: all calls go to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(
        &self,
        layout: Layout,
    ) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(
        &self,
        pointer: *mut u8,
        layout: Layout,
    ) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn key(number: u64) -> StreamKey {
    StreamKey::new(&format!("attempt-{number}"))
}

fn origin(number: u64) -> StreamOrigin {
    StreamOrigin {
        key: key(number),
        version: Some(SoftwareVersion::new("service", "2.1.0")),
        remaining_ms: LIFE.as_millis() as u32,
    }
}

fn router(
    zone: u32,
    number: u32,
) -> SocketAddr {
    SocketAddr::from(([10, 0, zone as u8, number as u8], 7000))
}

/// The homes as a router sees them that knows all routers of its zone, and the first `known` of each
/// other one.
fn homes_of(
    zone: u32,
    own: u32,
    known: u32,
) -> OriginHomes {
    let neighbours = (0..ROUTERS_PER_ZONE).filter(|number| *number != own);
    let neighbours = neighbours.map(|number| RouterProcess {
        address: router(zone, number),
        incarnation: 1,
    });
    let zones = (0..ZONES).filter(|other| *other != zone);
    let contacts = zones.map(|zone| ZoneContacts {
        zone,
        routers: (0..known).map(|number| router(zone, number)).collect(),
    });
    OriginHomes::new(zone, neighbours, contacts)
}

fn datagram_bytes(message: &PeerMessage) -> usize {
    encode_payload(message).expect("a datagram").len() + HEADER_BYTES
}

fn origins_bytes(
    for_zone: bool,
    count: u64,
) -> usize {
    let origins = (0..count).map(origin).collect();
    datagram_bytes(&PeerMessage::StreamOrigins(StreamOriginsMessage {
        for_zone,
        origins,
    }))
}

fn query_bytes(scope: QueryScope) -> usize {
    let key = key(1);
    datagram_bytes(&PeerMessage::StreamQuery(StreamQueryMessage { key, scope }))
}

fn answer_bytes(finding: OriginFinding) -> usize {
    datagram_bytes(&PeerMessage::StreamAnswer(StreamAnswerMessage {
        key: key(1),
        finding,
        passed_on: 3,
    }))
}

/// Messages of streams that begin at all routers in turn.
#[derive(Default)]
struct Traffic {
    sent: BTreeMap<SocketAddr, usize>,
    received: BTreeMap<SocketAddr, usize>,
    copies: BTreeMap<SocketAddr, usize>, // records held
    messages: usize,
    between_zones: usize,
}

impl Traffic {
    fn of(
        streams: u64,
        known: u32,
    ) -> Self {
        let mut fleet = BTreeMap::new();
        for zone in 0..ZONES {
            for number in 0..ROUTERS_PER_ZONE {
                let homes = homes_of(zone, number, known);
                fleet.insert(router(zone, number), homes);
            }
        }
        let routers: Vec<SocketAddr> = fleet.keys().copied().collect();
        let mut traffic = Self::default();
        for stream in 0..streams {
            let key = key(stream);
            let owner = routers[stream as usize % routers.len()];
            let mut holders = BTreeSet::from([owner]);
            for receiver in fleet[&owner].receivers(key) {
                traffic.count(owner, receiver.address);
                holders.insert(receiver.address);
                let next = fleet[&receiver.address].first_home(receiver.address, key);
                if let Some(next) = next.filter(|_| receiver.for_zone) {
                    traffic.count(receiver.address, next);
                    holders.insert(next);
                }
            }
            for holder in holders {
                *traffic.copies.entry(holder).or_default() += 1;
            }
        }
        traffic
    }

    fn count(
        &mut self,
        from: SocketAddr,
        to: SocketAddr,
    ) {
        let zone = |address: SocketAddr| match address {
            SocketAddr::V4(address) => address.ip().octets()[2],
            SocketAddr::V6(_) => unreachable!("all addresses here are of IPv4"),
        };
        *self.sent.entry(from).or_default() += 1;
        *self.received.entry(to).or_default() += 1;
        self.messages += 1;
        self.between_zones += usize::from(zone(from) != zone(to));
    }
}

/// The most that one router has, divided by the mean of all.
fn spread(counts: &BTreeMap<SocketAddr, usize>) -> f64 {
    let most = counts.values().max().copied().unwrap_or_default();
    let mean = counts.values().sum::<usize>() as f64 / f64::from(ZONES * ROUTERS_PER_ZONE);
    most as f64 / mean
}

#[test]
fn messages_of_records_stay_small_at_300_routers() {
    let streams = 60_000;
    let one = origins_bytes(false, 1);
    assert!(one <= 55, "{one}");
    let full = origins_bytes(true, 45);
    assert!(full <= 1100, "{full}");
    println!("bytes of a datagram with 1, 10, 45 records, with headers:");
    println!("  {one} {} {full}", origins_bytes(false, 10));
    for known in [ROUTERS_PER_ZONE, ROUTERS_PER_ZONE / 2, 4] {
        let traffic = Traffic::of(streams, known);
        let per_stream = traffic.messages as f64 / streams as f64;
        let copies = traffic.copies.values().sum::<usize>() as f64 / streams as f64;
        let routers = f64::from(ZONES * ROUTERS_PER_ZONE);
        let rate = STREAMS_PER_SECOND / routers;
        println!(
            "{known} routers known of each other zone: {per_stream:.2} datagrams a stream, of which \
             {:.2} between zones; {copies:.2} copies; of each router {:.1} datagrams and {:.0} bytes a \
             second sent and as many received (most: {:.2} times as many received); {:.0} records held \
             at {} s each (most: {:.2} times as many)",
            traffic.between_zones as f64 / streams as f64,
            per_stream * rate,
            per_stream * rate * one as f64,
            spread(&traffic.received),
            copies * rate * LIFE.as_secs_f64(),
            LIFE.as_secs(),
            spread(&traffic.copies),
        );
        assert!((3.0..=4.0).contains(&per_stream));
        assert!((4.0..=5.0).contains(&copies));
    }
}

#[test]
fn a_query_takes_few_messages_in_its_zone() {
    let known = OriginFinding::Known(SoftwareVersion::new("service", "2.1.0"));
    let homes = homes_of(0, 0, ROUTERS_PER_ZONE);
    let asked = homes.asked_in_zone(key(1)).len();
    let contacts = homes.zone_contacts(key(1), 0).len();
    let sizes = [
        query_bytes(QueryScope::Router),
        query_bytes(QueryScope::PassedOn(router(0, 1))),
        answer_bytes(known),
        answer_bytes(OriginFinding::Unknown),
    ];
    println!("bytes of a query, one passed on, an answer that knows, one that does not: {sizes:?}");
    let in_zone = 2 * asked;
    let all = in_zone + contacts * 2 + contacts * asked * 2;
    println!("datagrams of a query: {in_zone} in its zone, at most {all} if nobody knows");
    assert_eq!((asked, contacts), (3, 9));
    assert!(sizes.iter().all(|size| *size <= 55), "{sizes:?}");
}

#[test]
fn a_full_table_takes_little_memory_and_time() {
    let limit = 65_536;
    let before = ALLOCATED.load(Ordering::Relaxed);
    let mut table = OriginTable::default();
    let mut now = Moment::ZERO;
    let begun_at = Instant::now();
    for number in 0..limit {
        now += Duration::from_micros(50);
        table.record_own(now, key(number), SoftwareVersion(1), LIFE);
    }
    let time = begun_at.elapsed();
    assert_eq!(table.len() as u64, limit);
    let bytes = ALLOCATED.load(Ordering::Relaxed) - before;
    let per_record = bytes as f64 / limit as f64;
    println!(
        "{limit} records: {:.1} MB, {per_record:.0} bytes each, {:.2} us to add one",
        bytes as f64 / 1e6,
        time.as_secs_f64() * 1e6 / limit as f64
    );
    assert!(per_record < 200.0, "{per_record}");
}
