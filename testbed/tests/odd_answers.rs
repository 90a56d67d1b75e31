//! Answers that come early or whose end is the end of their connection.

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

/// More than the kernel's buffers of a connection hold, so that most of it is still to be
/// sent when the answer comes.
const LONG_BODY: usize = 1_900_000;

/// A long request and a short one after it.
const PAIRS: usize = 12;

/// For how long a replica that has answered reads on nothing.
const READS_LATER: Duration = Duration::from_millis(150);

/// One request's head, by its lines.
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

/// What became of the bodies that a replica read after its answers.
#[derive(Default)]
struct Bodies {
    read: usize,        // to their end, or to that of their connection
    wrong: Vec<String>, // where other bytes came, or no head where one was due
}

/// Answers before it reads the body, and reads that later.
async fn answer_early(
    stream: TcpStream,
    bodies: Arc<Mutex<Bodies>>,
) {
    let mut stream = BufReader::new(stream);
    while let Some(lines) = head(&mut stream).await {
        let is_head = lines.first().is_some_and(|line| line.starts_with("POST /"));
        if !is_head {
            let mut bodies = bodies.lock().expect("lock");
            bodies.wrong.push(format!("{lines:?}"));
            return;
        }
        let id = value(&lines, "archmast-attempt-id");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Replica-Signature: s\r\nContent-Length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        tokio::time::sleep(READS_LATER).await;
        let length = value(&lines, "content-length").parse().expect("a length");
        let mut body = vec![0; length];
        let is_whole = stream.read_exact(&mut body).await.is_ok();
        let mut bodies = bodies.lock().expect("lock");
        bodies.read += 1;
        if is_whole && body.iter().any(|byte| *byte != b'b') {
            bodies.wrong.push(format!("in {id}"));
        }
    }
}

/// A router and a replica that listens here.
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
async fn nothing_comes_in_the_place_of_a_body_that_a_replica_reads_after_its_answer() {
    let (fleet, listener) = fleet().await;
    let bodies = Arc::new(Mutex::new(Bodies::default()));
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
    assert_eq!(bodies.lock().expect("lock").wrong, Vec::<String>::new());
}

/// What a caller is told of an answer without a length that ends as `reset` says.
async fn unframed(reset: bool) -> (u16, Option<u64>) {
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
            // Without lingering a connection that is dropped ends by a reset.
            if reset {
                tokio::time::sleep(READS_LATER).await;
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
async fn an_answer_without_a_length_is_whole_when_its_connection_ends_and_not_when_it_is_reset() {
    assert_eq!(unframed(false).await, (200, None));
    assert_eq!(unframed(true).await, (502, Some(51)));
}
