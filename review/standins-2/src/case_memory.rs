//! One client account sends more uploads than usual, whose bodies come in small chunks. The script
//! plays the platform, which ends a process that goes over its memory and starts it again.

use {
    crate::{
        Run, Verdict,
        http::Message,
        record::Record,
        replica::Replica,
        router::{Fleet, Router},
        store::Store,
    },
    std::{
        collections::BTreeSet,
        io::{BufReader, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// `memory_mb` of the sheet, in KB.
const MEMORY_LIMIT_KB: u64 = 110 * 1024;

/// The delay until an ended process starts again.
const START_DELAY: Duration = Duration::from_millis(500);

/// Clients that send plain requests one after the other on kept connections.
const REGULAR_CLIENTS: usize = 16;

/// Uploads that the account usually sends at once, and while it sends more.
const USUAL_UPLOADS: usize = 1;
const MANY_UPLOADS: usize = 7;

/// How long the account sends, as `hot_tenant` of the site file.
const UPLOAD_TIME: Duration = Duration::from_millis(6500);

/// A body: below `max_body_bytes`, written in small chunks within some seconds.
const CHUNKS_PER_WRITE: usize = 4700;
const CHUNK: &str = "8\r\n\"entry\",\r\n";
const CHUNK_BYTES: usize = 8;
const WRITES: usize = 80;
const WRITE_PAUSE: Duration = Duration::from_millis(50);

/// What the clients saw.
#[derive(Default)]
struct Seen {
    served: AtomicUsize,           // regular requests
    lost: Mutex<BTreeSet<String>>, // regular requests whose kept connection closed with no answer
    uploaded: AtomicUsize,         // uploads that were served
    ends: AtomicUsize,             // of the router, for its memory
    peak_kb: Mutex<u64>,
    is_over: AtomicBool,   // the clients are to end
    has_ended: AtomicBool, // they have ended
}

const CONFIG: &str = concat!(
    r#"{"version":3,"routes":["#,
    r#"{"name":"plate-entry","host":"gate.example","path_prefix":"/plate/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":1000,"priority":2,"service":"gatekeep","max_attempts":1,"public":false},"#,
    r#"{"name":"shift-log","host":"gate.example","path_prefix":"/log/","kind":"non_idempotent","timeout_ms":15000,"target_latency_ms":1000,"priority":2,"service":"gatekeep","max_attempts":1,"public":false}],"#,
    r#""services":[{"name":"gatekeep","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],"#,
    r#""limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"#,
    r#""tenants":[{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68"],"priority":1},{"name":"kina211","api_keys":["q3vv81mdk2ls7d0xatt4"],"priority":1}]}"#,
);
const REGULAR_KEY: &str = "asnmgkcuyj8pjbvk9m68";
const UPLOAD_KEY: &str = "q3vv81mdk2ls7d0xatt4";

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let replicas: Vec<Replica> = ["i-1", "i-2", "i-3"]
        .iter()
        .map(|id| Replica::start_quiet(id, "127.0.2.1", Duration::from_millis(60)))
        .collect();
    let store = Store::default();
    store.put("op/config", CONFIG);
    for replica in &replicas {
        store.put(
            &format!("servers/{}", replica.id),
            &replica.entry("gatekeep"),
        );
    }
    let fleet = Fleet {
        root: &run.root,
        folder: &run.folder,
        store: store.start("127.0.3.1"),
    };
    let router = Router::start(&fleet, "edge-1", "127.0.1.1");
    let address = router.callers;
    record.line(format!(
        "the router is ready, with {} KB",
        router.resident_kb()
    ));
    let seen = Arc::new(Seen::default());
    let platform = {
        let (seen, record) = (seen.clone(), record.clone());
        thread::spawn(move || play_platform(&seen, &record, router))
    };
    let regular: Vec<_> = (0..REGULAR_CLIENTS)
        .map(|number| {
            let (seen, record) = (seen.clone(), record.clone());
            thread::spawn(move || send_regularly(&seen, &record, address, number))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let uploads = match run.has_trouble {
        true => MANY_UPLOADS,
        false => USUAL_UPLOADS,
    };
    record.line(format!(
        "the account begins to send {uploads} uploads at once, of {} bytes each",
        CHUNKS_PER_WRITE * CHUNK_BYTES * WRITES
    ));
    let until = Instant::now() + UPLOAD_TIME;
    let uploads: Vec<_> = (0..uploads)
        .map(|number| {
            let (seen, record) = (seen.clone(), record.clone());
            thread::spawn(move || {
                let mut attempt = 0;
                while Instant::now() < until {
                    attempt += 1;
                    upload(
                        &seen,
                        &record,
                        address,
                        &format!("upload-{number}-{attempt}"),
                    );
                }
            })
        })
        .collect();
    for upload in uploads {
        upload.join().expect("an upload");
    }
    thread::sleep(Duration::from_secs(2));
    seen.is_over.store(true, Ordering::SeqCst);
    for client in regular {
        client.join().expect("a regular client");
    }
    seen.has_ended.store(true, Ordering::SeqCst);
    platform.join().expect("the platform");
    judge(&seen, &replicas, record)
}

fn judge(
    seen: &Seen,
    replicas: &[Replica],
    record: &Record,
) -> Verdict {
    let ran: BTreeSet<String> = replicas
        .iter()
        .flat_map(Replica::runs)
        .map(|run| run.id)
        .collect();
    let lost = seen.lost.lock().expect("lost lock");
    let lost_and_ran: Vec<&String> = lost.iter().filter(|id| ran.contains(*id)).collect();
    for id in &lost_and_ran {
        record.line(format!(
            "LOST: {id} came on a kept connection and was run; the connection closed with no answer"
        ));
    }
    let served = seen.served.load(Ordering::SeqCst);
    record.line(format!(
        "{served} regular requests and {} uploads were served; the router held up to {} KB and was ended {} times; {} requests lost that a replica ran, 3 allowed",
        seen.uploaded.load(Ordering::SeqCst),
        seen.peak_kb.lock().expect("peak lock"),
        seen.ends.load(Ordering::SeqCst),
        lost_and_ran.len()
    ));
    match (served, lost_and_ran.len()) {
        (..200, _) => Verdict::NotRun,
        (_, 0..=3) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Ends the router while it is over its memory, and starts it again.
fn play_platform(
    seen: &Seen,
    record: &Record,
    mut router: Router,
) {
    let mut logged = Instant::now();
    while !seen.has_ended.load(Ordering::SeqCst) {
        let resident = router.resident_kb();
        let mut peak = seen.peak_kb.lock().expect("peak lock");
        *peak = resident.max(*peak);
        drop(peak);
        if logged.elapsed() >= Duration::from_millis(250) {
            logged = Instant::now();
            record.line(format!("the router holds {resident} KB"));
        }
        if resident > MEMORY_LIMIT_KB {
            record.line(format!(
                "the router holds {resident} KB, {MEMORY_LIMIT_KB} allowed: the platform ends it"
            ));
            seen.ends.fetch_add(1, Ordering::SeqCst);
            router.kill_and_restart(START_DELAY);
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Sends requests one after the other on a kept connection.
fn send_regularly(
    seen: &Seen,
    record: &Record,
    address: SocketAddr,
    number: usize,
) {
    let mut connection: Option<BufReader<TcpStream>> = None;
    let mut is_kept = false;
    let mut count = 0;
    while !seen.is_over.load(Ordering::SeqCst) {
        let Some(reader) = connection.as_mut() else {
            is_kept = false;
            connection = TcpStream::connect(address).ok().map(BufReader::new);
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        count += 1;
        let id = format!("regular-{number}-{count}");
        let text = format!(
            "POST /plate/{count} HTTP/1.1\r\nHost: gate.example\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Deadline-Ms: 1500\r\nArchmast-Credential: {REGULAR_KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        let answer = reader
            .get_mut()
            .write_all(text.as_bytes())
            .and_then(|()| Message::read(reader));
        match answer {
            Ok(Some(answer)) => {
                if answer.second_word() == "200" {
                    seen.served.fetch_add(1, Ordering::SeqCst);
                }
                is_kept = true;
                if answer.header("connection").eq_ignore_ascii_case("close") {
                    connection = None;
                }
            }
            ended => {
                record.line(format!(
                    "{id}: no answer ({ended:?}), kept connection: {is_kept}"
                ));
                if is_kept {
                    seen.lost.lock().expect("lost lock").insert(id);
                }
                connection = None;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Sends one upload in small chunks, and waits for its answer.
fn upload(
    seen: &Seen,
    record: &Record,
    address: SocketAddr,
    id: &str,
) {
    let Ok(stream) = TcpStream::connect(address) else {
        thread::sleep(Duration::from_millis(50));
        return;
    };
    let mut reader = BufReader::new(stream);
    let head = format!(
        "POST /log/{id} HTTP/1.1\r\nHost: gate.example\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Deadline-Ms: 15000\r\nArchmast-Credential: {UPLOAD_KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut outcome = reader.get_mut().write_all(head.as_bytes());
    let text = CHUNK.repeat(CHUNKS_PER_WRITE);
    for _ in 0..WRITES {
        if outcome.is_err() {
            break;
        }
        outcome = reader.get_mut().write_all(text.as_bytes());
        thread::sleep(WRITE_PAUSE);
    }
    let answer = outcome
        .and_then(|()| reader.get_mut().write_all(b"0\r\n\r\n"))
        .and_then(|()| Message::read(&mut reader));
    let status = answer.as_ref().ok().and_then(Option::as_ref);
    let status = status.map_or("none", Message::second_word);
    record.line(format!("{id}: status {status}"));
    if status == "200" {
        seen.uploaded.fetch_add(1, Ordering::SeqCst);
    }
}
