//! A router is killed and starts again. Clients whose connections broke send their uploads again
//! at once, are refused as the router knows no configuration yet, and go on sending their bodies
//! while the first configuration comes into force.

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
        net::{Shutdown, SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Clients that upload, the pieces of each body, and the pause between two pieces.
const UPLOADS: usize = 4;
const PIECES: usize = 15;
const PAUSE: Duration = Duration::from_millis(100);

/// When the router is killed, from the start of the uploads, and the delay until its start.
const KILL_AFTER: Duration = Duration::from_millis(500);
const START_DELAY: Duration = Duration::from_millis(500);

/// How often a client tries to connect while nothing listens, and for how long.
const CONNECT_PAUSE: Duration = Duration::from_millis(2);
const CONNECT_LIMIT: Duration = Duration::from_secs(5);

/// What the clients sent and got.
#[derive(Default)]
struct Sent {
    ids: Mutex<BTreeSet<String>>,
    served: AtomicUsize,  // uploads that were answered with 200
    refused: AtomicUsize, // with 503
}

const CONFIG: &str = concat!(
    r#"{"version":3,"routes":["#,
    r#"{"name":"plate-entry","host":"gate.example","path_prefix":"/plate/","kind":"non_idempotent","timeout_ms":8000,"target_latency_ms":1000,"priority":2,"service":"gatekeep","max_attempts":1,"public":true}],"#,
    r#""services":[{"name":"gatekeep","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],"#,
    r#""limits":{"max_header_bytes":32768,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"#,
    r#""tenants":[{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68"],"priority":1}]}"#,
);

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let replicas: Vec<Replica> = ["i-1", "i-2", "i-3"]
        .iter()
        .map(|id| Replica::start(id, "127.0.2.1", Duration::from_millis(15), record))
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
    let mut router = Router::start(&fleet, "edge-1", "127.0.1.1");
    record
        .line("the router is ready; configuration 3 allows heads of 32768 bytes and never changes");
    let sent = Arc::new(Sent::default());
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let (sent, record, address) = (sent.clone(), record.clone(), router.callers);
            thread::spawn(move || upload_until_answered(&sent, &record, address, number))
        })
        .collect();
    thread::sleep(KILL_AFTER);
    if run.has_trouble {
        record.line("the router is killed");
        router.kill_and_restart(START_DELAY);
        record.line("the router's process is started again");
    }
    for upload in uploads {
        upload.join().expect("an upload");
    }
    judge(&sent, &replicas, record)
}

fn judge(
    sent: &Sent,
    replicas: &[Replica],
    record: &Record,
) -> Verdict {
    let ids = sent.ids.lock().expect("ids lock");
    let runs = replicas.iter().flat_map(Replica::runs);
    let unasked: Vec<_> = runs.filter(|run| !ids.contains(&run.id)).collect();
    for run in &unasked {
        record.line(format!(
            "UNASKED: {} ({}) was run, no client sent it",
            run.id, run.target
        ));
    }
    let (served, refused) = (
        sent.served.load(Ordering::SeqCst),
        sent.refused.load(Ordering::SeqCst),
    );
    record.line(format!(
        "{served} of {UPLOADS} uploads were served in the end, {refused} attempts got 503; {} runs that no client asked for",
        unasked.len()
    ));
    match (unasked.is_empty(), served) {
        (false, _) => Verdict::Broken,
        (true, 0) => Verdict::NotRun,
        (true, _) => Verdict::Held,
    }
}

/// Uploads until an attempt is served: a broken connection or a 503 is followed by another attempt
/// on a new connection, with an id of its own.
fn upload_until_answered(
    sent: &Sent,
    record: &Record,
    address: SocketAddr,
    number: usize,
) {
    for attempt in 0..6 {
        let id = format!("upload-{number}-{attempt}");
        let status = upload(sent, record, address, &id);
        record.line(format!("{id}: ended with {status:?}"));
        match status.as_deref() {
            Some("200") => {
                sent.served.fetch_add(1, Ordering::SeqCst);
                return;
            }
            Some("503") => {
                sent.refused.fetch_add(1, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(500));
            }
            _ => {}
        }
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let until = Instant::now() + CONNECT_LIMIT;
    while Instant::now() < until {
        if let Ok(stream) = TcpStream::connect(address) {
            return Some(stream);
        }
        thread::sleep(CONNECT_PAUSE);
    }
    None
}

/// Uploads a file of recorded requests, each sent as one piece. Returns the first status.
fn upload(
    sent: &Sent,
    record: &Record,
    address: SocketAddr,
    id: &str,
) -> Option<String> {
    sent.ids.lock().expect("ids lock").insert(id.to_owned());
    let pieces: Vec<String> = (0..PIECES)
        .map(|piece| {
            format!(
                "POST /plate/recorded HTTP/1.1\r\nHost: gate.example\r\nArchmast-Attempt-Id: recorded-{id}-{piece}\r\nArchmast-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
            )
        })
        .collect();
    let length: usize = pieces.iter().map(String::len).sum();
    let mut stream = connect(address)?;
    stream.set_nodelay(true).ok()?;
    let reading = {
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        let (record, id) = (record.clone(), id.to_owned());
        thread::spawn(move || {
            let mut first = None;
            while let Ok(Some(answer)) = Message::read(&mut reader) {
                record.line(format!(
                    "{id}: the client reads {} (Archmast-Attempt-Id {:?}, signature {:?})",
                    answer.first,
                    answer.header("archmast-attempt-id"),
                    answer.header("archmast-replica-signature"),
                ));
                first.get_or_insert(answer.second_word().to_owned());
            }
            first
        })
    };
    let head = format!(
        "POST /plate/upload HTTP/1.1\r\nHost: gate.example\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Deadline-Ms: 8000\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut outcome = stream.write_all(head.as_bytes());
    record.line(format!(
        "{id}: head sent, {length} bytes of body follow in {PIECES} pieces"
    ));
    for piece in &pieces {
        thread::sleep(PAUSE);
        if outcome.is_err() {
            break;
        }
        outcome = stream.write_all(piece.as_bytes());
    }
    record.line(format!("{id}: the body is sent: {outcome:?}"));
    if outcome.is_ok() {
        thread::sleep(Duration::from_millis(500));
    }
    drop(stream.shutdown(Shutdown::Both));
    reading.join().expect("the reader")
}
