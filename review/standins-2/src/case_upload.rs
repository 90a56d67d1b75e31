//! Clients whose requests are refused by their heads go on sending their bodies while a
//! configuration comes into force that allows longer heads.

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
        time::Duration,
    },
};

/// Clients that upload, the pieces of each body, and the pause between two pieces.
const UPLOADS: usize = 4;
const PIECES: usize = 40;
const PAUSE: Duration = Duration::from_millis(100);

/// When the configuration changes, from the start of the uploads.
const CHANGE_AFTER: Duration = Duration::from_millis(1200);

/// What the clients sent, and what the regular client got.
#[derive(Default)]
struct Sent {
    ids: Mutex<BTreeSet<String>>,
    refused: AtomicUsize, // uploads that got 401
    regular: AtomicUsize, // requests of the regular client
    served: AtomicUsize,  // of these
    is_over: AtomicBool,
}

fn config(
    version: u64,
    max_header_bytes: u32,
) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"plate-entry\",\"host\":\"gate.example\",\"path_prefix\":\"/plate/\",\"kind\":\"non_idempotent\",\"timeout_ms\":800,\"target_latency_ms\":100,\"priority\":2,\"service\":\"gatekeep\",\"max_attempts\":1,\"public\":true}},\
         {{\"name\":\"shift-log\",\"host\":\"gate.example\",\"path_prefix\":\"/log/\",\"kind\":\"non_idempotent\",\"timeout_ms\":8000,\"target_latency_ms\":1000,\"priority\":2,\"service\":\"gatekeep\",\"max_attempts\":1,\"public\":false}}],\
         \"services\":[{{\"name\":\"gatekeep\",\"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":{max_header_bytes},\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"asnmgkcuyj8pjbvk9m68\"],\"priority\":1}}]}}"
    )
}

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let replicas: Vec<Replica> = ["i-1", "i-2", "i-3"]
        .iter()
        .map(|id| Replica::start(id, "127.0.2.1", Duration::from_millis(15), record))
        .collect();
    let store = Store::default();
    store.put("op/config", &config(3, 16_384));
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
    record.line("the router is ready; configuration 3 allows heads of 16384 bytes");
    let sent = Arc::new(Sent::default());
    let regular = {
        let (sent, record, address) = (sent.clone(), record.clone(), router.callers);
        thread::spawn(move || send_regularly(&sent, &record, address))
    };
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let (sent, record, address) = (sent.clone(), record.clone(), router.callers);
            thread::spawn(move || upload(&sent, &record, address, number))
        })
        .collect();
    thread::sleep(CHANGE_AFTER);
    if run.has_trouble {
        store.put("op/config", &config(9, 32_768));
        record.line("the store acknowledged configuration 9: heads of 32768 bytes, nothing else");
    }
    for upload in uploads {
        upload.join().expect("an upload");
    }
    thread::sleep(Duration::from_secs(1));
    sent.is_over.store(true, Ordering::SeqCst);
    regular.join().expect("the regular client");
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
    let refused = sent.refused.load(Ordering::SeqCst);
    let (regular, served) = (
        sent.regular.load(Ordering::SeqCst),
        sent.served.load(Ordering::SeqCst),
    );
    record.line(format!(
        "{refused} of {UPLOADS} uploads got 401; {served} of {regular} regular requests were served; {} runs that no client asked for",
        unasked.len()
    ));
    if refused < UPLOADS || regular < 20 || served * 10 < regular * 9 {
        return Verdict::NotRun;
    }
    match unasked.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

/// Sends a request each tenth of a second on one kept connection.
fn send_regularly(
    sent: &Sent,
    record: &Record,
    address: SocketAddr,
) {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
    while !sent.is_over.load(Ordering::SeqCst) {
        let number = sent.regular.fetch_add(1, Ordering::SeqCst);
        let id = format!("regular-{number}");
        sent.ids.lock().expect("ids lock").insert(id.clone());
        let text = format!(
            "POST /plate/{number} HTTP/1.1\r\nHost: gate.example\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Deadline-Ms: 1500\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        let answer = stream
            .write_all(text.as_bytes())
            .and_then(|()| Message::read(&mut reader));
        match answer {
            Ok(Some(answer)) if answer.second_word() == "200" => {
                sent.served.fetch_add(1, Ordering::SeqCst);
            }
            other => {
                record.line(format!("{id}: {other:?}"));
                stream = TcpStream::connect(address).expect("a connection");
                reader = BufReader::new(stream.try_clone().expect("a socket"));
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Uploads a shift's log of requests with a key that the configuration does not hold. The body
/// consists of recorded requests, each sent as one piece.
fn upload(
    sent: &Sent,
    record: &Record,
    address: SocketAddr,
    number: usize,
) {
    let id = format!("upload-{number}");
    sent.ids.lock().expect("ids lock").insert(id.clone());
    let pieces: Vec<String> = (0..PIECES)
        .map(|piece| {
            format!(
                "POST /plate/recorded HTTP/1.1\r\nHost: gate.example\r\nArchmast-Attempt-Id: recorded-{number}-{piece}\r\nArchmast-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
            )
        })
        .collect();
    let length: usize = pieces.iter().map(String::len).sum();
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_nodelay(true).expect("a socket option");
    let reading = {
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        let (record, id) = (record.clone(), id.clone());
        thread::spawn(move || {
            let mut statuses = Vec::new();
            while let Ok(Some(answer)) = Message::read(&mut reader) {
                record.line(format!(
                    "{id}: the client reads {} (Archmast-Attempt-Id {:?}, signature {:?})",
                    answer.first,
                    answer.header("archmast-attempt-id"),
                    answer.header("archmast-replica-signature"),
                ));
                statuses.push(answer.second_word().to_owned());
            }
            record.line(format!("{id}: the connection has ended"));
            statuses
        })
    };
    let head = format!(
        "POST /log/{number} HTTP/1.1\r\nHost: gate.example\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Deadline-Ms: 8000\r\nArchmast-Credential: withdrawn00000000000\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut outcome = stream.write_all(head.as_bytes());
    record.line(format!(
        "{id}: head sent, {length} bytes of body follow in {PIECES} pieces"
    ));
    for piece in &pieces {
        if outcome.is_err() {
            break;
        }
        outcome = stream.write_all(piece.as_bytes());
        thread::sleep(PAUSE);
    }
    record.line(format!("{id}: the body is sent: {outcome:?}"));
    thread::sleep(Duration::from_millis(500));
    drop(stream.shutdown(std::net::Shutdown::Both));
    let statuses = reading.join().expect("the reader");
    if statuses.first().is_some_and(|status| status == "401") {
        sent.refused.fetch_add(1, Ordering::SeqCst);
    }
}
