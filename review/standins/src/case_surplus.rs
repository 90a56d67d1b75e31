//! Replicas answer a call of the router, and send that answer a second time, late.

use {
    crate::{
        fleet::{
            Folder, RouterAddresses, RouterSettings, cannot_run, record_runs, start_replica,
            wait_until_ready,
        },
        http::{BodyEnd, Connection},
        record::Record,
        store::Store,
    },
    std::{
        fs, thread,
        time::{Duration, Instant},
    },
};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-digest","host":"ficu95.example","path_prefix":"/digest/","kind":"streaming","timeout_ms":4000,"target_latency_ms":1000,"priority":1,"service":"drafter","max_attempts":1,"public":false,"sticky":true,"resumable":false,"itl_target_ms":200}],"services":[{"name":"drafter","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":232000,"kv_bytes":327680,"link_mbps":1100000.0,"moves":true,"backups":true,"stride":3,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":390000},"tenants":[{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68"],"priority":1}]}"#;

/// Callers, each with one request after the other, and the requests of each.
const CALLERS: usize = 8;
const REQUESTS: usize = 15;

/// Sends the requests of one caller. Returns their ids and the status that each got.
fn one_caller(
    router: std::net::SocketAddr,
    number: usize,
    record: &Record,
) -> Vec<(String, u16)> {
    let mut kept: Option<Connection> = None;
    let mut answers = Vec::new();
    for count in 0..REQUESTS {
        let id = format!("9c41{number:04x}{count:08x}");
        let until = Instant::now() + Duration::from_millis(4500);
        let opened = kept.take().map_or_else(|| Connection::open(router), Ok);
        let mut connection = opened.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let request = format!(
            "POST /digest/2f HTTP/1.1\r\nHost: ficu95.example\r\nArchmast-Attempt-Id: {id}\r\n\
             Archmast-Model: m\r\nArchmast-Token-Count: 900,24\r\n\
             Archmast-Prefix-Hash: 5c1e07{number:02x}:300,e4{number:04x}{count:08x}:600\r\n\
             Archmast-Deadline-Ms: 4000\r\nArchmast-Credential: asnmgkcuyj8pjbvk9m68\r\n\
             Content-Length: 5\r\n\r\nhello"
        );
        let sent = connection.write(request.as_bytes());
        match sent.and_then(|()| connection.head(until)) {
            Err(error) => record.line(format!("caller: {id}: no answer: {error}")),
            Ok(head) => {
                let (body, end) = connection.answer_body(&head, until);
                record.line(format!(
                    "caller: sent {id}, got {}, {} bytes, {end:?}, retry-after {:?}",
                    head.status(),
                    body.len(),
                    head.get("retry-after")
                ));
                let closes = head.get("connection").eq_ignore_ascii_case("close");
                if !closes && end == BodyEnd::Complete {
                    kept = Some(connection);
                }
                answers.push((id, head.status()));
            }
        }
    }
    answers
}

/// Returns whether REFUSED was broken.
pub fn run(
    case: &str,
    has_trouble: bool,
) -> bool {
    let record = Record::create(&format!("{case}/record.txt"));
    let folder = Folder::create();
    let store = Store::default();
    store.put("op/config", Some(CONFIG.to_owned()));
    let sound = ["i-02d9e6b4", "i-02d9e6b5", "i-02d9e6b6"];
    let faulty = ["i-7f3a91c0", "i-7f3a91c1", "i-7f3a91c2"];
    let how = if has_trouble { "surplus" } else { "full" };
    let mut replicas = Vec::new();
    for id in sound {
        replicas.push(start_replica(&folder, &store, id, "drafter", "digests"));
    }
    for id in faulty {
        replicas.push(start_replica(&folder, &store, id, "drafter", how));
    }
    thread::sleep(Duration::from_millis(300));
    let addresses = RouterAddresses::free("127.0.0.2");
    let settings = RouterSettings {
        name: "edge-burnaby-b-1",
        zone: "burnaby-b",
        addresses,
        seeds: &[addresses.peers],
        store: store.listen(),
    };
    let mut router = settings.start(&folder);
    wait_until_ready(addresses.ready);
    record.line("router ready");
    let until = Instant::now() + Duration::from_secs(5);
    let was_asked = |id: &str| {
        let log = fs::read_to_string(folder.0.join(format!("{id}.log")));
        log.unwrap_or_default().contains("turns the list away")
    };
    while !faulty.iter().all(|id| was_asked(id)) {
        if Instant::now() > until {
            cannot_run("the router does not ask the replicas what they keep");
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.line("the router has asked the replicas what they keep");
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || one_caller(addresses.callers, number, &record))
        })
        .collect();
    let answers = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap());
    let answers: Vec<(String, u16)> = answers.collect();
    thread::sleep(Duration::from_millis(500));
    let mut runs = String::new();
    for id in sound.iter().chain(&faulty) {
        runs.push_str(&record_runs(&folder, &record, id));
    }
    if router.has_ended() {
        record.line("the router has ended");
    }
    let promised = answers
        .iter()
        .filter(|(_, status)| [408, 421, 429, 503].contains(status));
    let promised: Vec<&String> = promised.map(|(id, _)| id).collect();
    let ran: Vec<&&String> = promised
        .iter()
        .filter(|id| runs.contains(&format!("runs {id}")))
        .collect();
    for id in &ran {
        record.line(format!("told that it did not run, and ran: {id}"));
    }
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    if served < CALLERS * REQUESTS / 2 {
        cannot_run("most requests are not served");
    }
    let verdict = match ran.len() {
        0 => "REFUSED held",
        _ => "REFUSED broken",
    };
    let text = format!(
        "{verdict}: of {} requests {served} served, {} told that they did not run, of which {} ran",
        answers.len(),
        promised.len(),
        ran.len()
    );
    record.line(&text);
    println!("{text}");
    !ran.is_empty()
}
