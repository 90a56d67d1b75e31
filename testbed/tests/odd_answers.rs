//! A replica may answer before it has read the whole request: it then reads the rest of that
//! request and nothing else. It may also end an answer by closing its connection: only a reset
//! makes the answer incomplete.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, ConfigText, DirectFleet, RouteText},
        fleet::wait_until,
    },
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
    },
};

/// More than the socket buffers of a connection hold, so that most of the body is still unsent
/// when the answer arrives.
const LONG_BODY: usize = 1_900_000;

/// Number of pairs of a long request and a short one after it.
const PAIRS: usize = 12;

/// How long a replica that has answered waits before it reads the body.
const BODY_READ_DELAY: Duration = Duration::from_millis(150);

/// Reads the head of a request; returns its lines, or none if the connection ended.
async fn head(stream: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        let read = stream.read_line(&mut line).await.ok()?;
        match line.trim_end() {
            _ if read == 0 => return None,
            "" => return Some(lines),
            line => lines.push(line.to_owned()),
        }
    }
}

fn value(
    lines: &[String],
    name: &str,
) -> String {
    let mut fields = lines.iter().filter_map(|line| line.split_once(": "));
    let field = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
    field.map_or(String::new(), |(_, value)| value.to_owned())
}

/// The bodies that a replica read after its answers.
#[derive(Default)]
struct ReadBodies {
    read: usize,             // completely, or until the connection ended
    unexpected: Vec<String>, // unexpected bytes in a body, or in place of a head
}

/// Answers each request before it reads its body.
async fn answer_early(
    stream: TcpStream,
    bodies: Arc<Mutex<ReadBodies>>,
) {
    let mut stream = BufReader::new(stream);
    while let Some(lines) = head(&mut stream).await {
        let is_head = lines.first().is_some_and(|line| line.starts_with("POST /"));
        if !is_head {
            let mut bodies = bodies.lock().expect("lock");
            bodies.unexpected.push(format!("{lines:?}"));
            return;
        }
        let id = value(&lines, "archmast-attempt-id");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Replica-Signature: s\r\nContent-Length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        tokio::time::sleep(BODY_READ_DELAY).await;
        let length = value(&lines, "content-length").parse().expect("a length");
        let mut body = vec![0; length];
        let is_whole = stream.read_exact(&mut body).await.is_ok();
        let mut bodies = bodies.lock().expect("lock");
        bodies.read += 1;
        if is_whole && body.iter().any(|byte| *byte != b'b') {
            bodies.unexpected.push(format!("in {id}"));
        }
    }
}

/// A router, and the listener of its only replica.
async fn fleet() -> (DirectFleet, TcpListener) {
    let fleet = DirectFleet::start(1, "").await;
    let listener = TcpListener::bind((fleet.standins(), 0))
        .await
        .expect("an address");
    let address = listener.local_addr().expect("an address");
    fleet
        .store
        .list_replica_in("z", "i-odd", "s", address, "ready");
    let once = [RouteText::new("/charge/", "s", "non_idempotent")];
    fleet.store.publish_config(&ConfigText {
        max_body: LONG_BODY,
        ..ConfigText::new(1, &once)
    });
    fleet.wait_until_ready().await;
    (fleet, listener)
}

#[tokio::test(flavor = "multi_thread")]
async fn no_other_bytes_replace_a_body_that_a_replica_reads_after_its_answer() {
    let (fleet, listener) = fleet().await;
    let bodies = Arc::new(Mutex::new(ReadBodies::default()));
    let seen = bodies.clone();
    let accepting = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_early(stream, seen.clone()));
        }
    });
    let body = "b".repeat(LONG_BODY);
    for number in 0..PAIRS {
        let long = ClientRequest::post("/charge/", &format!("long-{number}"), &body);
        let short = ClientRequest::post("/charge/", &format!("short-{number}"), "bb");
        for request in [long, short] {
            let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
            assert_eq!(
                (answer.status, answer.text().as_str()),
                (200, "ok"),
                "{number}: {answer:?}"
            );
        }
    }
    wait_until("all bodies are read", || {
        bodies.lock().expect("lock").read == PAIRS * 2
    })
    .await;
    accepting.abort();
    assert_eq!(
        bodies.lock().expect("lock").unexpected,
        Vec::<String>::new()
    );
}

/// Status and code that a caller gets for an answer without a length, whose connection is
/// closed or, with `reset`, reset.
async fn answer_without_length(reset: bool) -> (u16, Option<u64>) {
    let (fleet, listener) = fleet().await;
    let answering = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut stream = BufReader::new(stream);
            let Some(lines) = head(&mut stream).await else {
                continue;
            };
            let id = value(&lines, "archmast-attempt-id");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Replica-Signature: s\r\n\r\npart"
            );
            let written = stream.write_all(answer.as_bytes()).await;
            written.expect("the answer is written");
            let stream = stream.into_inner();
            // With a linger time of zero, dropping the connection resets it.
            if reset {
                tokio::time::sleep(BODY_READ_DELAY).await;
                stream.set_zero_linger().expect("a socket option");
            }
        }
    });
    let request = ClientRequest::get("/charge/", "id-1");
    let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
    answering.abort();
    (answer.status, answer.code())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_is_complete_if_its_connection_ends_without_a_reset() {
    assert_eq!(answer_without_length(false).await, (200, None));
    assert_eq!(answer_without_length(true).await, (502, Some(51)));
}
