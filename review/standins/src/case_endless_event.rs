//! A replica spoils some of its streams: bytes that never end an event.

use {
    crate::{
        fleet::{
            Folder, MEMORY_MB, Process, RouterAddresses, RouterSettings, cannot_run, record_runs,
            start_replica, wait_until_ready,
        },
        http::{BodyEnd, Connection},
        record::Record,
        store::Store,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-digest","host":"ficu95.example","path_prefix":"/digest/","kind":"streaming","timeout_ms":4000,"target_latency_ms":1000,"priority":1,"service":"drafter","max_attempts":1,"public":false,"sticky":true,"resumable":false,"itl_target_ms":200}],"services":[{"name":"drafter","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":232000,"kv_bytes":327680,"link_mbps":1100000.0,"moves":true,"backups":true,"stride":3,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":390000},"tenants":[{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68"],"priority":1}]}"#;

/// Callers, all with connections that they keep, and the time from one request of a caller to the
/// next: 48 requests a second, about half of this kind in the site's traffic.
const CALLERS: usize = 48;
const PACE: Duration = Duration::from_millis(1000);

/// Parts of prompts that requests share.
const SHARED_PARTS: usize = 12;

const PLAY: Duration = Duration::from_secs(60);
/// A process that ended is started again after this.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The platform looks at the memory of processes this often.
const MEMORY_CHECK: Duration = Duration::from_millis(10);
/// More such requests than this break LOST.
const ALLOWED_LOST: usize = 3;
/// Ends of one machine's process, and machines, that make the day a fault.
const FAULT_ENDS: usize = 3;
const FAULT_MACHINES: usize = 2;

/// A request whose connection closed with no byte of an answer.
struct Unanswered {
    id: String,
    was_kept: bool,
}

/// One caller: sends streams, one after the other, on a connection that it keeps.
fn one_caller(
    number: usize,
    routers: [SocketAddr; 2],
    stopped: &AtomicBool,
    unanswered: &Mutex<Vec<Unanswered>>,
    counts: &Mutex<BTreeMap<String, usize>>,
    record: &Record,
) {
    let mut kept: Option<Connection> = None;
    let mut router = number;
    let mut count = 0;
    thread::sleep(PACE * number as u32 / CALLERS as u32);
    while !stopped.load(Ordering::Relaxed) {
        let next = Instant::now() + PACE;
        count += 1;
        let id = format!("9c41{number:04x}{count:08x}");
        let part = number % SHARED_PARTS;
        let request = format!(
            "POST /digest/2f HTTP/1.1\r\nHost: ficu95.example\r\nArchmast-Attempt-Id: {id}\r\n\
             Archmast-Model: m\r\nArchmast-Token-Count: 900,24\r\n\
             Archmast-Prefix-Hash: 5c1e07{part:02x}:300,e4{number:04x}{count:08x}:600\r\n\
             Archmast-Deadline-Ms: 4000\r\nArchmast-Credential: asnmgkcuyj8pjbvk9m68\r\n\
             Content-Length: 5\r\n\r\nhello"
        );
        let until = Instant::now() + Duration::from_millis(4500);
        let was_kept = kept.is_some();
        let opened = kept
            .take()
            .or_else(|| Connection::open(routers[router % 2]).ok());
        let outcome = match opened {
            None => {
                router += 1;
                "no connection".to_owned()
            }
            Some(mut connection) => {
                let sent = connection.write(request.as_bytes());
                match sent.and_then(|()| connection.head(until)) {
                    Err(_) => {
                        record.line(format!("caller: {id}: closed with no answer"));
                        unanswered.lock().unwrap().push(Unanswered { id, was_kept });
                        "closed with no answer".to_owned()
                    }
                    Ok(head) => {
                        let (_, end) = connection.answer_body(&head, until);
                        let closes = head.get("connection").eq_ignore_ascii_case("close");
                        if end == BodyEnd::Complete && !closes {
                            kept = Some(connection);
                        }
                        format!("{} {end:?}", head.status())
                    }
                }
            }
        };
        *counts.lock().unwrap().entry(outcome).or_default() += 1;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
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
    let sound = ["i-02d9e6b4", "i-02d9e6b5"];
    let spoiling = "i-7f3a91c0";
    let how = if has_trouble { "endless" } else { "digests" };
    let mut replicas: Vec<Process> = Vec::new();
    for id in sound {
        replicas.push(start_replica(&folder, &store, id, "drafter", "digests"));
    }
    replicas.push(start_replica(&folder, &store, spoiling, "drafter", how));
    let addresses = [
        RouterAddresses::free("127.0.0.2"),
        RouterAddresses::free("127.0.0.3"),
    ];
    let names = ["edge-burnaby-b-1", "edge-burnaby-b-2"];
    let seeds = addresses.map(|at| at.peers);
    let store_address = store.listen();
    let start = |index: usize| {
        let settings = RouterSettings {
            name: names[index],
            zone: "burnaby-b",
            addresses: addresses[index],
            seeds: &seeds,
            store: store_address,
        };
        settings.start(&folder)
    };
    let mut routers: Vec<Option<Process>> = (0..2).map(|index| Some(start(index))).collect();
    addresses.iter().for_each(|at| wait_until_ready(at.ready));
    thread::sleep(Duration::from_secs(1));
    record.line("both routers ready");

    let stopped = Arc::new(AtomicBool::new(false));
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let counts = Arc::new(Mutex::new(BTreeMap::new()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (stopped, unanswered) = (stopped.clone(), unanswered.clone());
            let (counts, record) = (counts.clone(), record.clone());
            let at = addresses.map(|at| at.callers);
            thread::spawn(move || {
                one_caller(number, at, &stopped, &unanswered, &counts, &record);
            })
        })
        .collect();
    // The platform: ends a process that goes over its memory, and starts it again.
    let until = Instant::now() + PLAY;
    let mut ends = [0; 2];
    let mut peaks = [0; 2];
    let mut restarts: [Option<Instant>; 2] = [None; 2];
    while Instant::now() < until && ends.iter().any(|ends| *ends < FAULT_ENDS) {
        for index in 0..2 {
            if let Some(router) = &mut routers[index] {
                let memory = router.memory_kb();
                peaks[index] = memory.max(peaks[index]);
                if memory > MEMORY_MB * 1024 || router.has_ended() {
                    record.line(format!(
                        "platform: {} has {} MB, {MEMORY_MB} allowed: killed",
                        names[index],
                        memory / 1024
                    ));
                    routers[index] = None;
                    ends[index] += 1;
                    restarts[index] = Some(Instant::now() + RESTART_DELAY);
                }
            } else if restarts[index].is_some_and(|at| Instant::now() >= at) {
                routers[index] = Some(start(index));
                record.line(format!("platform: {} started again", names[index]));
            }
        }
        thread::sleep(MEMORY_CHECK);
    }
    stopped.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    record.line(format!(
        "peak memory {} and {} MB",
        peaks[0] / 1024,
        peaks[1] / 1024
    ));
    record.line(format!("callers: {:?}", counts.lock().unwrap()));
    record_runs(&folder, &record, spoiling);
    let mut runs = String::new();
    for id in sound {
        runs.push_str(&record_runs(&folder, &record, id));
    }
    let unanswered = unanswered.lock().unwrap();
    let lost = unanswered
        .iter()
        .filter(|request| request.was_kept && runs.contains(&format!("runs {}", request.id)));
    let lost = lost.count();
    let served = counts
        .lock()
        .unwrap()
        .get("200 Complete")
        .copied()
        .unwrap_or(0);
    if served < 50 {
        cannot_run("hardly any request is served");
    }
    let is_broken = lost > ALLOWED_LOST;
    let verdict = if is_broken {
        "LOST broken"
    } else {
        "LOST held"
    };
    let is_fault = ends.iter().filter(|ends| **ends >= FAULT_ENDS).count() >= FAULT_MACHINES;
    let text = format!(
        "{verdict}: {lost} requests from kept connections, handed to sound replicas, closed with \
         no answer ({ALLOWED_LOST} allowed); processes ended by their memory {} and {} times{}; \
         {served} served",
        ends[0],
        ends[1],
        if is_fault { " (a Fault as well)" } else { "" }
    );
    record.line(&text);
    println!("{text}");
    is_broken
}
