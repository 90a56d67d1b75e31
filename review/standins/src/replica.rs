//! A stand-in replica, a process of its own. It writes to standard output which requests it runs.

use {
    crate::http::{Connection, Head, answer},
    std::{
        io::Write,
        net::{SocketAddr, TcpListener},
        sync::{
            OnceLock,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// How a replica answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum How {
    /// 800 bytes after a moment.
    Plain,
    /// Streams, of which one in `ENDLESS_EVERY` is spoilt: bytes that never end an event.
    Endless,
    /// The same streams, all as they should be.
    Digests,
    /// Streams. It is full when it is asked for the list of what it keeps, and turns that call away.
    Full,
    /// The same, and sends that answer a second time, late: where the next answer on the
    /// connection is due.
    Surplus,
    /// Events with a pause in the middle, as of a request that is preempted and read anew.
    Preempted,
}

/// The work of a plain request.
const WORK: Duration = Duration::from_millis(2);

/// A call that is turned away, in the words of the users' wire examples ("a server sheds"). It
/// carries no attempt id back, as the call has none.
const TURNED_AWAY: &str = "Archmast-Not-Executed: 1\r\n";

/// One in so many streams is spoilt: 5 in 100.
const ENDLESS_EVERY: usize = 20;

/// A spoilt stream comes at up to 30 MB a second, an eighth of what the link of a replica carries.
const ENDLESS_PIECE: usize = 90_000;
const ENDLESS_PAUSE: Duration = Duration::from_millis(3);

/// Reading a prompt, the events of a digest, and the pause between two.
const READING: Duration = Duration::from_millis(200);
const DIGEST_EVENTS: usize = 8;
const DIGEST_GAP: Duration = Duration::from_millis(15);

/// Streams are spoilt for so long at a time, which begins again after so long: twice the time of
/// one disruption of this kind in the site file, and more than once.
const SPELL: Duration = Duration::from_secs(10);
const SPELL_EVERY: Duration = Duration::from_secs(14);

/// Streams begun.
static STREAMS: AtomicUsize = AtomicUsize::new(0);

/// Events of a stream before and after its pause.
pub const EVENTS: [usize; 2] = [4, 4];
const EVENT_GAP: Duration = Duration::from_millis(40);
pub const STREAM_PAUSE: Duration = Duration::from_millis(3300);

pub fn run(arguments: &[String]) {
    let [id, address, how] = arguments else {
        panic!("replica ID ADDRESS HOW");
    };
    let how = match how.as_str() {
        "endless" => How::Endless,
        "digests" => How::Digests,
        "preempted" => How::Preempted,
        "full" => How::Full,
        "surplus" => How::Surplus,
        _ => How::Plain,
    };
    let address: SocketAddr = address.parse().unwrap();
    let listener = TcpListener::bind(address).unwrap();
    for stream in listener.incoming().flatten() {
        let id = id.clone();
        thread::spawn(move || serve(&id, how, Connection::new(stream)));
    }
}

fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(format!("{text}\n").as_bytes());
    let _ = out.flush();
}

fn serve(
    id: &str,
    how: How,
    mut connection: Connection,
) {
    let mut surplus = None; // an answer that is sent a second time
    loop {
        let until = Instant::now() + Duration::from_secs(60);
        let Ok(head) = connection.head(until) else {
            return;
        };
        let Ok(_) = connection.request_body(&head, until) else {
            return;
        };
        let path = head.target().split('?').next().unwrap_or("");
        if path == "/v1/kv-list" && matches!(how, How::Full | How::Surplus) {
            let bytes = answer("503 Service Unavailable", TURNED_AWAY, b"");
            say("turns the list away");
            if connection.write(&bytes).is_err() {
                return;
            }
            surplus = (how == How::Surplus).then_some(bytes);
            continue;
        }
        if let Some(bytes) = own_call(id, path) {
            if path == "/v1/kv-events" {
                thread::sleep(Duration::from_millis(900));
            }
            if connection.write(&bytes).is_err() {
                return;
            }
            continue;
        }
        let attempt = head.get("Archmast-Attempt-Id").to_owned();
        let expected = head.get("Archmast-Expected-Replica");
        if !expected.is_empty() && expected != id {
            let headers =
                format!("Archmast-Replica-Id: {id}\r\nArchmast-Attempt-Id: {attempt}\r\n");
            say(&format!("turned away {attempt}"));
            if connection
                .write(&answer("421 Misdirected Request", &headers, b""))
                .is_err()
            {
                return;
            }
            continue;
        }
        if let Some(bytes) = surplus.take() {
            say("sends the answer to the list call a second time");
            if connection.write(&bytes).is_err() {
                return;
            }
        }
        say(&format!("runs {attempt}"));
        let is_stream = head.target().starts_with("/digest/");
        let done = match how {
            How::Endless if is_spoilt() => endless(&mut connection, &head),
            How::Endless | How::Digests | How::Full | How::Surplus => {
                digest(&mut connection, &head)
            }
            How::Preempted if is_stream => stream(&mut connection, &head),
            _ => plain(&mut connection, &head),
        };
        match done {
            Ok(()) => say(&format!("answered {attempt} whole")),
            Err(_) => return say(&format!("stopped {attempt}: its connection was closed")),
        }
    }
}

/// Calls that are no requests of clients.
fn own_call(
    id: &str,
    path: &str,
) -> Option<Vec<u8>> {
    let json = "Content-Type: application/json\r\n";
    let body = match path {
        "/health" => {
            return Some(answer(
                "200 OK",
                &format!("Archmast-Replica-Id: {id}\r\n"),
                b"",
            ));
        }
        "/v1/kv-list" => "{\"epoch\":1,\"next_token\":0,\"held\":[]}",
        "/v1/kv-events" => "{\"epoch\":1,\"next_token\":0,\"lost\":false,\"events\":[]}",
        _ => return None,
    };
    Some(answer("200 OK", json, body.as_bytes()))
}

fn proof(head: &Head) -> String {
    let attempt = head.get("Archmast-Attempt-Id");
    format!("Archmast-Attempt-Id: {attempt}\r\nArchmast-Replica-Signature: 3e1b.{attempt}\r\n")
}

fn plain(
    connection: &mut Connection,
    head: &Head,
) -> std::io::Result<()> {
    thread::sleep(WORK);
    connection.write(&answer("200 OK", &proof(head), &[b'x'; 800]))
}

/// Whether a stream that begins now is spoilt. The first call begins the first spell.
fn is_spoilt() -> bool {
    static FIRST: OnceLock<Instant> = OnceLock::new();
    let since = FIRST.get_or_init(Instant::now).elapsed();
    let is_due = (STREAMS.fetch_add(1, Ordering::Relaxed) + 1).is_multiple_of(ENDLESS_EVERY);
    is_due && since.as_millis() % SPELL_EVERY.as_millis() < SPELL.as_millis()
}

fn stream_head(head: &Head) -> String {
    format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        proof(head)
    )
}

fn digest(
    connection: &mut Connection,
    head: &Head,
) -> std::io::Result<()> {
    thread::sleep(READING);
    connection.write(stream_head(head).as_bytes())?;
    for id in 1..=DIGEST_EVENTS {
        connection.write(&chunk(&format!("id: {id}\ndata: piece {id}\n\n")))?;
        thread::sleep(DIGEST_GAP);
    }
    connection.write(b"0\r\n\r\n")
}

/// Bytes that are no events, until the connection is closed.
fn endless(
    connection: &mut Connection,
    head: &Head,
) -> std::io::Result<()> {
    say(&format!("spoils {}", head.get("Archmast-Attempt-Id")));
    connection.write(stream_head(head).as_bytes())?;
    let piece = chunk(&"x".repeat(ENDLESS_PIECE));
    loop {
        connection.write(&piece)?;
        thread::sleep(ENDLESS_PAUSE);
    }
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn stream(
    connection: &mut Connection,
    head: &Head,
) -> std::io::Result<()> {
    connection.write(stream_head(head).as_bytes())?;
    let mut id = 0;
    for (part, count) in EVENTS.into_iter().enumerate() {
        if part > 0 {
            thread::sleep(STREAM_PAUSE);
        }
        for _ in 0..count {
            id += 1;
            connection.write(&chunk(&format!("id: {id}\ndata: piece {id}\n\n")))?;
            thread::sleep(EVENT_GAP);
        }
    }
    connection.write(b"0\r\n\r\n")
}
