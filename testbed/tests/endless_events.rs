//! A faulty replica may send a stream in which an event does not end. The stream ends visibly,
//! alone, before it takes memory that others need.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, DirectFleet, RawRequest, ReplicaAnswer, RouteText, event},
        fleet::{resident_bytes, wait_until},
    },
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
        task::JoinSet,
    },
};

/// Bytes of the event that does not end, and the pause between two pieces of them: 13 MB a second.
const PIECE_BYTES: usize = 64 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(5);

/// More than a router reads of an event, with what the sockets on the way hold.
const MAX_SENT_BYTES: usize = 8 << 20;

/// How many streams are spoilt at the same time.
const SPOILT_STREAMS: usize = 20;

/// Number of the last event of a whole stream.
const LAST: u32 = 9;

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn events(
    first: u32,
    last: u32,
) -> String {
    (first..=last).map(event).collect()
}

/// Sends `whole` whole events and an event that does not end; to a resumed stream, the rest of
/// the events. Adds up the bytes of the event without an end.
async fn serve(
    stream: TcpStream,
    whole: u32,
    sent: Arc<AtomicUsize>,
) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    let Some(request) = RawRequest::read(&mut stream).await? else {
        return Ok(());
    };
    let id = request.id;
    let head = format!(
        "HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Replica-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    if request.last_event > 0 {
        let rest = chunk(&events(request.last_event + 1, LAST)) + "0\r\n\r\n";
        return stream.write_all(rest.as_bytes()).await;
    }
    if whole > 0 {
        stream
            .write_all(chunk(&events(1, whole)).as_bytes())
            .await?;
    }
    let piece = chunk(&"x".repeat(PIECE_BYTES));
    loop {
        stream.write_all(piece.as_bytes()).await?;
        sent.fetch_add(PIECE_BYTES, Ordering::SeqCst);
        tokio::time::sleep(PIECE_PAUSE).await;
    }
}

/// A router of a small host, and replicas of which the one of service `spoilt` sends `whole` events
/// and one without an end. Returns how much it sent of that.
async fn start(whole: u32) -> (DirectFleet, Arc<AtomicUsize>) {
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
                if let Err(error) = serve(stream, whole, sent).await {
                    log::debug!("connection of a router: {error}");
                }
            });
        }
    });
    fleet
        .store
        .list_replica("i-spoilt", "spoilt", address, "ready");
    let once = |prefix, service| RouteText {
        attempts: 1,
        resumable: false,
        timeout_ms: 3000,
        ..RouteText::new(prefix, service, "streaming")
    };
    let resumable = RouteText {
        attempts: 3,
        timeout_ms: 3000,
        ..RouteText::new("/chat/", "spoilt", "streaming")
    };
    let routes = [
        once("/digest/", "spoilt"),
        resumable,
        once("/sound/", "sound"),
    ];
    fleet.store.publish(1, &routes);
    fleet.wait_until_ready().await;
    wait_until("the replica is known", || {
        fleet.routers[0].log_text().contains("upstream Ready")
    })
    .await;
    (fleet, total)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_the_end_of_an_event_is_an_error_answer() {
    let (fleet, sent) = start(0).await;
    let request = ClientRequest::post("/digest/", "id-1", "prompt");
    let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
    assert_eq!(
        (answer.status, answer.code()),
        (502, Some(61)),
        "{answer:?}"
    );
    let sent = sent.load(Ordering::SeqCst);
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_the_end_of_a_later_event_is_cut_visibly() {
    let (fleet, sent) = start(4).await;
    let request = ClientRequest::post("/digest/", "id-1", "prompt");
    let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
    assert_eq!((answer.status, answer.is_complete), (200, false));
    assert_eq!(answer.text(), events(1, 4));
    let sent = sent.load(Ordering::SeqCst);
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_without_the_end_of_an_event_goes_on_elsewhere() {
    let (fleet, _) = start(4).await;
    let _sound = fleet
        .start_replica("i-sound", "spoilt", ReplicaAnswer::events(LAST))
        .await;
    wait_until("the replica is known", || {
        let log = fleet.routers[0].log_text();
        log.matches("upstream Ready").count() >= 2
    })
    .await;
    for number in 0..6 {
        let request = ClientRequest::post("/chat/", &format!("id-{number}"), "prompt");
        let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
        assert!(answer.is_whole_success(), "{answer:?}");
        assert_eq!(answer.text(), events(1, LAST));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn many_spoilt_streams_take_no_memory_without_bound_and_end_no_other() {
    let (fleet, _) = start(0).await;
    let sound = ReplicaAnswer::Events {
        last: LAST,
        pause: Duration::from_millis(100),
    };
    let _sound = fleet.start_replica("i-sound", "sound", sound).await;
    fleet.wait_until_served(0, "/sound/", 200).await;
    let address = fleet.caller_addresses[0];
    let before = resident_bytes(fleet.routers[0].id());
    let mut spoilt = JoinSet::new();
    for number in 0..SPOILT_STREAMS {
        spoilt.spawn(async move {
            let request = ClientRequest::post("/digest/", &format!("id-{number}"), "prompt");
            Client::call_once(address, &request).await
        });
    }
    let request = ClientRequest::post("/sound/", "id-sound", "prompt");
    let answer = Client::call_once(address, &request).await;
    let after = resident_bytes(fleet.routers[0].id());
    assert!(answer.is_whole_success(), "{answer:?}");
    assert_eq!(answer.text(), events(1, LAST));
    for answer in spoilt.join_all().await {
        assert!(!answer.is_whole_success(), "{}", answer.status);
    }
    let grown = after.saturating_sub(before);
    assert!(grown < 16 << 20, "memory grew by {grown} bytes");
}
