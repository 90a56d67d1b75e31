//! A router is stopped as planned while streams pause whose connections it relays to another
//! router of its zone.

use {
    crate::{
        fleet::{
            Folder, RouterAddresses, RouterSettings, cannot_run, fetch, is_ready, record_runs,
            start_replica, wait_until_ready,
        },
        http::{BodyEnd, Connection},
        record::Record,
        replica::EVENTS,
        store::Store,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-digest","host":"ficu95.example","path_prefix":"/digest/","kind":"streaming","timeout_ms":4000,"target_latency_ms":1000,"priority":1,"service":"drafter","max_attempts":1,"public":false,"sticky":true,"resumable":false,"itl_target_ms":200},{"name":"r-gate","host":"ficu95.example","path_prefix":"/gate/","kind":"idempotent","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"gatekeep","max_attempts":2,"public":false}],"services":[{"name":"drafter","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":232000,"kv_bytes":327680,"link_mbps":1100000.0,"moves":true,"backups":true,"stride":3,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},{"name":"gatekeep","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":390000},"tenants":[{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68"],"priority":1}]}"#;

/// Callers of the usual requests, and how many they send in a second, all together.
const CALLERS: usize = 150;
const FIRST_RATE: u64 = 1500;
const MAX_RATE: u64 = 30_000;
const REQUESTS_PER_CONNECTION: usize = 5;
/// The rate rises while fewer connections than this are handed on in a step.
const HANDED_ON_PER_STEP: u64 = 10;
/// How long the callers have been there before that is looked at.
const SETTLE: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(400);

const STREAMS: usize = 24;
const FIRST_STREAM: Duration = Duration::from_millis(200); // after the stop signal
const STREAM_GAP: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_secs(4);

/// What a caller saw of its stream.
#[derive(Debug)]
struct Seen {
    id: String,
    status: u16,
    events: usize,
    end: BodyEnd,
    took: Duration,
}

/// Callers that send usual requests, all to one router.
struct Load {
    rate: AtomicU64, // requests in a second
    answered: AtomicU64,
    stopped: AtomicBool,
}

/// Sends the requests of one caller, some on each connection.
fn one_caller(
    load: &Load,
    address: SocketAddr,
    number: usize,
) {
    let mut kept: Option<Connection> = None;
    let mut count = 0;
    while !load.stopped.load(Ordering::Relaxed) {
        let rate = load.rate.load(Ordering::Relaxed);
        let next = Instant::now() + Duration::from_micros(1_000_000 * CALLERS as u64 / rate);
        count += 1;
        let request = format!(
            "GET /gate/2f HTTP/1.1\r\nHost: ficu95.example\r\nArchmast-Attempt-Id: \
             load-{number}-{count}\r\nArchmast-Deadline-Ms: 1500\r\nArchmast-Credential: \
             asnmgkcuyj8pjbvk9m68\r\n\r\n"
        );
        let until = Instant::now() + Duration::from_millis(1500);
        let opened = kept.take().or_else(|| Connection::open(address).ok());
        if let Some(mut connection) = opened
            && connection.write(request.as_bytes()).is_ok()
            && let Ok(head) = connection.head(until)
        {
            let (_, end) = connection.answer_body(&head, until);
            load.answered.fetch_add(1, Ordering::Relaxed);
            let closes = head.get("connection").eq_ignore_ascii_case("close");
            let is_used_up = count % REQUESTS_PER_CONNECTION == 0;
            if !closes && !is_used_up && end == BodyEnd::Complete {
                kept = Some(connection);
            }
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

fn one_stream(
    address: SocketAddr,
    number: usize,
    record: &Record,
) -> Option<Seen> {
    let id = format!("9c41d07be2a3{number:04x}");
    let until = Instant::now() + DEADLINE + Duration::from_millis(500);
    let started = Instant::now();
    let mut connection = Connection::open(address).ok()?;
    let request = format!(
        "POST /digest/2f HTTP/1.1\r\nHost: ficu95.example\r\nArchmast-Attempt-Id: {id}\r\n\
         Archmast-Model: m\r\nArchmast-Token-Count: 900,24\r\n\
         Archmast-Prefix-Hash: 5c1e07a2:300,e4402b{number:02x}:600\r\n\
         Archmast-Deadline-Ms: 4000\r\nArchmast-Credential: asnmgkcuyj8pjbvk9m68\r\n\
         Content-Length: 5\r\n\r\nhello"
    );
    connection.write(request.as_bytes()).ok()?;
    record.line(format!("caller: sends stream {id}"));
    let seen = match connection.head(until) {
        Ok(head) => {
            let (body, end) = connection.answer_body(&head, until);
            let events = String::from_utf8_lossy(&body).matches("\n\n").count();
            Seen {
                id,
                status: head.status(),
                events,
                end,
                took: started.elapsed(),
            }
        }
        Err(_) => Seen {
            id,
            status: 0,
            events: 0,
            end: BodyEnd::Cut,
            took: started.elapsed(),
        },
    };
    record.line(format!("caller: {seen:?}"));
    Some(seen)
}

fn handed_on(operator: SocketAddr) -> u64 {
    let (_, text) = fetch(operator, "/metrics").unwrap_or_default();
    let mut lines = text.lines();
    let line = lines.find(|line| line.starts_with("archmast_connections_handed_on_total"));
    let value = line.and_then(|line| line.split_whitespace().last()?.parse::<f64>().ok());
    value.unwrap_or(0.0) as u64
}

/// Returns whether LOST was broken.
pub fn run(
    case: &str,
    has_trouble: bool,
) -> bool {
    let record = Record::create(&format!("{case}/record.txt"));
    let folder = Folder::create();
    let store = Store::default();
    store.put("op/config", Some(CONFIG.to_owned()));
    let plain = ["i-7f3a91c0", "i-7f3a91c1", "i-7f3a91c2"];
    let engines = ["i-02d9e6b4", "i-02d9e6b5"];
    let mut processes = Vec::new();
    for id in plain {
        processes.push(start_replica(&folder, &store, id, "gatekeep", "plain"));
    }
    for id in engines {
        processes.push(start_replica(&folder, &store, id, "drafter", "preempted"));
    }
    let first = RouterAddresses::free("127.0.0.2");
    let second = RouterAddresses::free("127.0.0.3");
    let seeds = [first.peers, second.peers];
    let store_address = store.listen();
    let settings = |name, addresses| RouterSettings {
        name,
        zone: "burnaby-b",
        addresses,
        seeds: &seeds,
        store: store_address,
    };
    let stopped = settings("edge-burnaby-b-1", first).start(&folder);
    let mut other = settings("edge-burnaby-b-2", second).start(&folder);
    wait_until_ready(first.ready);
    wait_until_ready(second.ready);
    thread::sleep(Duration::from_secs(1));
    record.line("both routers ready");

    let load = Arc::new(Load {
        rate: AtomicU64::new(FIRST_RATE),
        answered: AtomicU64::new(0),
        stopped: AtomicBool::new(false),
    });
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let load = load.clone();
            thread::spawn(move || one_caller(&load, first.callers, number))
        })
        .collect();
    thread::sleep(SETTLE);
    let ramp_until = Instant::now() + Duration::from_secs(60);
    // The rate rises until the router hands connections on, as it is half busy. A router that is
    // much busier says that it is not ready, and gets no callers then.
    loop {
        let before = handed_on(first.operator);
        thread::sleep(STEP);
        let count = handed_on(first.operator) - before;
        let is_ready = is_ready(first.ready);
        let rate = load.rate.load(Ordering::Relaxed);
        if count >= HANDED_ON_PER_STEP && is_ready {
            record.line(format!(
                "{CALLERS} callers send {rate} requests a second to the first router; it is ready \
                 and hands connections on to the second"
            ));
            load.rate.store(rate * 6 / 5, Ordering::Relaxed);
            break;
        }
        let percent = if !is_ready { 70 } else { 110 };
        load.rate.store(
            (rate * percent / 100).clamp(FIRST_RATE, MAX_RATE),
            Ordering::Relaxed,
        );
        if Instant::now() > ramp_until {
            cannot_run("the router hands no connections on");
        }
    }
    let at_start = handed_on(first.operator);
    let answered_at_start = load.answered.load(Ordering::Relaxed);
    if has_trouble {
        stopped.signal("TERM");
        record.line("planned work: SIGTERM to the first router");
    }
    let signalled = Instant::now();
    thread::sleep(FIRST_STREAM);
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let record = record.clone();
        streams.push(thread::spawn(move || {
            one_stream(first.callers, number, &record)
        }));
        thread::sleep(STREAM_GAP);
    }
    let since = handed_on(first.operator) - at_start;
    let answered = load.answered.load(Ordering::Relaxed) - answered_at_start;
    record.line(format!(
        "since then {since} connections handed on, {answered} usual requests answered"
    ));
    let seen: Vec<Seen> = streams
        .into_iter()
        .flat_map(|it| it.join().unwrap())
        .collect();
    load.stopped.store(true, Ordering::Relaxed);
    record.line(format!(
        "all streams over {:?} after the signal",
        signalled.elapsed()
    ));
    for caller in callers {
        let _ = caller.join();
    }
    record.line(format!(
        "{} usual requests answered",
        load.answered.load(Ordering::Relaxed)
    ));
    let mut runs = String::new();
    for id in engines.iter().chain(&plain) {
        runs.push_str(&record_runs(&folder, &record, id));
    }
    if other.has_ended() {
        record.line("the second router has ended");
    }
    let all: usize = EVENTS.iter().sum();
    let is_cut = |seen: &&Seen| {
        let was_handed_over = runs.contains(&format!("runs {}", seen.id));
        let is_whole = seen.end == BodyEnd::Complete && (seen.status != 200 || seen.events == all);
        was_handed_over && !is_whole && seen.took < DEADLINE - Duration::from_millis(100)
    };
    let cut = seen.iter().filter(is_cut).count();
    let whole = seen
        .iter()
        .filter(|seen| seen.status == 200 && seen.events == all)
        .count();
    record.line(format!(
        "{whole} of {} streams whole, {cut} cut",
        seen.len()
    ));
    if has_trouble && cut == 0 && since < HANDED_ON_PER_STEP {
        cannot_run("hardly any connection was handed on after the signal");
    }
    if !has_trouble && whole < STREAMS / 2 {
        cannot_run("without the stop most streams are not whole either");
    }
    let verdict = match cut {
        0 => "LOST held",
        _ => "LOST broken: connections were closed with no complete answer during a planned stop",
    };
    record.line(verdict);
    println!(
        "{verdict}: {whole} of {} streams whole, {cut} cut",
        seen.len()
    );
    cut > 0
}
