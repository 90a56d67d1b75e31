//! A faulty replica may send bytes that are no answer, in a head or in a body, without an end. Its
//! request ends in time, alone, and takes no memory that others need.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, DirectFleet, RawRequest, ReplicaAnswer, RouteText},
        fleet::{resident_bytes, wait_until, wait_until_async},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
        task::JoinSet,
        time::timeout,
    },
};

/// The time-out of the route to the spoilt replica, and how much later its requests may end.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2000);
const TOLERANCE: Duration = Duration::from_millis(500);

/// Bytes that are written at once. There is no pause: more is always there to be read.
const PIECE_BYTES: usize = 64 << 10;

/// A replica that sent nothing for this long has been given up.
const SILENCE: Duration = Duration::from_millis(100);

/// How long a request to the sound replica may take.
const SOUND_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests to the spoilt replica at the same time.
const SPOILT_REQUESTS: usize = 4;

/// How much the router may grow by them.
const MAX_GROWTH: usize = 16 << 20;

/// More than a router reads of one head, with what the sockets on the way hold.
const MAX_HEAD_SENT: usize = 8 << 20;

/// The end of a whole body in chunks.
const END: &[u8] = b"0\r\n\r\n";

/// What the spoilt replica sends: `start` once, then `piece` again and again.
#[derive(Clone, Copy)]
struct Garbage {
    start: &'static str,
    piece: &'static str,
}

const JUNK: Garbage = Garbage {
    start: "",
    piece: "x",
};

const HEADERS: Garbage = Garbage {
    start: "HTTP/1.1 200 OK\r\n",
    piece: "x: y\r\n",
};

const INTERIM_HEADS: Garbage = Garbage {
    start: "",
    piece: "HTTP/1.1 100 Continue\r\n\r\n",
};

const CHUNK_EXTENSION: Garbage = Garbage {
    start: "HTTP/1.1 200 OK\r\nArchmast-Replica-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5;",
    piece: "x",
};

const TRAILERS: Garbage = Garbage {
    start: "HTTP/1.1 200 OK\r\nArchmast-Replica-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
    piece: "x: y\r\n",
};

const UNFRAMED_BODY: Garbage = Garbage {
    start: "HTTP/1.1 200 OK\r\nArchmast-Replica-Signature: s\r\n\r\n",
    piece: "x",
};

const CHUNKS: Garbage = Garbage {
    start: "HTTP/1.1 200 OK\r\nArchmast-Replica-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    piece: "1\r\nx\r\n",
};

const COMMENTS: Garbage = Garbage {
    start: "HTTP/1.1 200 OK\r\nArchmast-Replica-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n",
    piece: ": x\n",
};

const BLANK_LINES: Garbage = Garbage {
    start: "HTTP/1.1 200 OK\r\nArchmast-Replica-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n",
    piece: "\n\n",
};

/// Reads a request and sends the garbage until the connection is closed. Adds up the bytes.
async fn serve(
    stream: TcpStream,
    garbage: Garbage,
    sent: Arc<AtomicUsize>,
) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    let Some(request) = RawRequest::read(&mut stream).await? else {
        return Ok(());
    };
    let id = request.id;
    let id_line = format!("HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {id}\r\n");
    let start = garbage.start.replace("HTTP/1.1 200 OK\r\n", &id_line);
    stream.write_all(start.as_bytes()).await?;
    let piece = garbage.piece.repeat(PIECE_BYTES / garbage.piece.len());
    loop {
        stream.write_all(piece.as_bytes()).await?;
        sent.fetch_add(piece.len(), Ordering::SeqCst);
    }
}

/// A router of a small host, a replica of service `spoilt` that sends garbage, and a sound one of
/// service `sound`. Returns how much the spoilt one sent.
async fn start(garbage: Garbage) -> (DirectFleet, Arc<AtomicUsize>) {
    let fleet = DirectFleet::start(1, "[memory]\nlimit = 64 MB\n").await;
    let listener = TcpListener::bind((fleet.standins(), 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let sent = Arc::new(AtomicUsize::new(0));
    let total = sent.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let sent = sent.clone();
            tokio::spawn(async move {
                if let Err(error) = serve(stream, garbage, sent).await {
                    log::debug!("connection of a router: {error}");
                }
            });
        }
    });
    fleet
        .store
        .list_replica("i-spoilt", "spoilt", address, "ready");
    let spoilt = |prefix, kind| RouteText {
        attempts: 1,
        resumable: false,
        timeout_ms: ROUTE_TIMEOUT.as_millis() as u32,
        ..RouteText::new(prefix, "spoilt", kind)
    };
    let routes = [
        spoilt("/plain/", "non_idempotent"),
        spoilt("/events/", "streaming"),
        RouteText::new("/sound/", "sound", "idempotent"),
    ];
    fleet.store.publish(1, &routes);
    fleet.wait_until_ready().await;
    wait_until("the replica is known", || {
        fleet.routers[0].log_text().contains("upstream Ready")
    })
    .await;
    (fleet, total)
}

/// Sends a request, and reads its answer without keeping it until the connection ends or rests.
/// Returns whether it is a success that looks whole.
async fn call_and_discard(
    address: SocketAddr,
    request: &ClientRequest,
) -> io::Result<bool> {
    const REST: Duration = Duration::from_millis(400);
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&request.bytes()).await?;
    let mut buffer = vec![0; 64 << 10];
    let first = stream.read(&mut buffer).await?;
    let is_success = buffer[..first].starts_with(b"HTTP/1.1 200");
    let mut end = buffer[first.saturating_sub(END.len())..first].to_vec();
    loop {
        match timeout(REST, stream.read(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => {
                end.extend(&buffer[count.saturating_sub(END.len())..count]);
                end.drain(..end.len().saturating_sub(END.len()));
            }
            _ => return Ok(is_success && end == END),
        }
    }
}

/// Sends requests to the spoilt replica, and one to a sound one. The former end in time and without
/// memory, the latter is served. Returns how much the spoilt replica sent.
async fn play(
    garbage: Garbage,
    path: &'static str,
) -> usize {
    let (fleet, sent) = start(garbage).await;
    let _sound = fleet
        .start_replica("i-sound", "sound", ReplicaAnswer::ok("answer"))
        .await;
    fleet.wait_until_served(0, "/sound/", 200).await;
    let address = fleet.caller_addresses[0];
    let before = resident_bytes(fleet.routers[0].id());
    let begun = Instant::now();
    let mut spoilt = JoinSet::new();
    for number in 0..SPOILT_REQUESTS {
        spoilt.spawn(async move {
            let request = ClientRequest::post(path, &format!("id-{number}"), "prompt");
            let is_whole = call_and_discard(address, &request).await;
            (is_whole, begun.elapsed())
        });
    }
    let mut grown = 0;
    while begun.elapsed() < ROUTE_TIMEOUT / 2 {
        let request = ClientRequest::get("/sound/", "id-sound");
        let answer = timeout(SOUND_TIMEOUT, Client::call_once(address, &request)).await;
        assert_eq!(answer.expect("an answer in time").status, 200);
        let now = resident_bytes(fleet.routers[0].id());
        grown = grown.max(now.saturating_sub(before));
    }
    for (is_whole, took) in spoilt.join_all().await {
        assert!(!is_whole.expect("an answer"));
        assert!(took <= ROUTE_TIMEOUT + TOLERANCE, "{took:?}");
    }
    assert!(grown <= MAX_GROWTH, "memory grew by {grown} bytes");
    let mut last = usize::MAX;
    wait_until_async("the replica sends nothing more", async || {
        let total = sent.load(Ordering::SeqCst);
        tokio::time::sleep(SILENCE).await;
        std::mem::replace(&mut last, total) == total
    })
    .await;
    sent.load(Ordering::SeqCst)
}

#[tokio::test(flavor = "multi_thread")]
async fn junk_in_place_of_a_head_ends_its_request() {
    let sent = play(JUNK, "/plain/").await;
    assert!(sent <= SPOILT_REQUESTS * MAX_HEAD_SENT, "{sent} bytes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_without_an_end_ends_its_request() {
    let sent = play(HEADERS, "/plain/").await;
    assert!(sent <= SPOILT_REQUESTS * MAX_HEAD_SENT, "{sent} bytes");
}

#[tokio::test(flavor = "multi_thread")]
async fn interim_heads_without_an_end_end_their_request() {
    let sent = play(INTERIM_HEADS, "/plain/").await;
    assert!(sent <= SPOILT_REQUESTS * MAX_HEAD_SENT, "{sent} bytes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chunk_extension_without_an_end_ends_its_request() {
    play(CHUNK_EXTENSION, "/plain/").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn trailers_without_an_end_end_their_request() {
    play(TRAILERS, "/plain/").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_an_end_ends_its_request() {
    play(UNFRAMED_BODY, "/plain/").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_without_an_end_end_their_request() {
    play(CHUNKS, "/plain/").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn comments_without_an_end_end_their_stream() {
    play(COMMENTS, "/events/").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn blank_lines_without_an_end_end_their_stream() {
    play(BLANK_LINES, "/events/").await;
}
