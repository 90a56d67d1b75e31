//! How the bytes of an answer end is one fact, whether the answer is whole another. A caller
//! never gets a part of an answer, or bytes that belong to no answer, framed as a whole one.

use {
    archmast_testbed::{
        direct::{
            Client, ClientAnswer, ClientRequest, DirectFleet, Framing, Replica, ReplicaAnswer,
            RouteText, event, forwarding_fleet,
        },
        fleet::wait_until,
    },
    std::{collections::HashMap, io, ops::RangeInclusive, time::Duration},
    tokio::{
        io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
        net::{TcpListener, TcpSocket, TcpStream},
        task::JoinSet,
        time::timeout,
    },
};

/// Number of the last event of a whole stream.
const LAST: u32 = 9;

/// More than a router buffers of an answer before it relays the beginning.
const LONG_BODY_BYTES: usize = 400 << 10;

/// Events of which the text is longer than `LONG_BODY_BYTES`.
const LONG_STREAM_EVENTS: u32 = 20_000;

/// Less than `LONG_BODY_BYTES`, and more than the buffer.
const WRONG_LENGTH: usize = 300 << 10;

/// How much of a long answer is missing when its router is killed: less than the text of an error
/// answer.
const MISSING_BYTES: usize = 100;

/// Their bytes are more than the sockets between a router and a caller hold, and less than a
/// router holds for a caller.
const UNREAD_EVENTS: u32 = 30_000;

/// The receive buffer of a caller that reads slowly.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;

/// More than a router takes to read a request that it hands on.
const RELAY_TIME: Duration = Duration::from_millis(300);

/// How long a test waits for the end of an answer that does not come.
const PATIENCE: Duration = Duration::from_secs(20);

fn events(numbers: RangeInclusive<u32>) -> String {
    numbers.map(event).collect()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A request as a raw replica received it.
struct Received {
    id: String,
    last_event: u32, // 0 if the request does not resume a stream
}

/// What a raw replica sends to a request.
struct RawAnswer {
    headers: String, // lines besides those that identify the answer
    status: u16,
    body: String, // as on the wire
    end: End,
}

/// What a raw replica does after its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    KeepOpen,
    Close,
    /// Closes its connections and its listener, as the kernel does for a process that exits.
    Exit,
}

impl RawAnswer {
    /// An answer of status 200 without length or chunks, with these events.
    fn unframed(
        events: &str,
        end: End,
    ) -> Self {
        Self {
            headers: "Content-Type: text/event-stream\r\n".to_owned(),
            status: 200,
            body: events.to_owned(),
            end,
        }
    }
}

/// Reads a request; none at the end of the connection.
async fn read_request(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Received>> {
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        match line.trim_end().split_once(": ") {
            Some((name, value)) => {
                fields.insert(name.to_ascii_lowercase(), value.to_owned());
            }
            None if line.trim_end().is_empty() => break,
            None => {}
        }
    }
    let number = |name: &str| fields.get(name).and_then(|text| text.parse().ok());
    let length: usize = number("content-length").unwrap_or(0);
    stream.read_exact(&mut vec![0; length]).await?;
    Ok(Some(Received {
        id: fields
            .get("archmast-attempt-id")
            .cloned()
            .unwrap_or_default(),
        last_event: number("last-event-id").unwrap_or(0) as u32,
    }))
}

async fn serve_raw(
    stream: TcpStream,
    answer: impl Fn(&Received) -> RawAnswer,
) -> io::Result<(End, TcpStream)> {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read_request(&mut stream).await? {
        let RawAnswer {
            headers,
            status,
            body,
            end,
        } = answer(&request);
        let id = request.id;
        let head = format!(
            "HTTP/1.1 {status} Answer\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Replica-Signature: s\r\n{headers}\r\n"
        );
        stream.write_all((head + &body).as_bytes()).await?;
        if end != End::KeepOpen {
            return Ok((end, stream.into_inner()));
        }
    }
    Ok((End::Close, stream.into_inner()))
}

/// Accepts connections until an answer ends with `End::Exit`.
async fn run_raw(
    listener: TcpListener,
    answer: impl Fn(&Received) -> RawAnswer + Clone + Send + Sync + 'static,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
                connections.spawn(serve_raw(stream, answer.clone()));
            }
            Some(ended) = connections.join_next() => match ended {
                Ok(Ok((End::Exit, stream))) => {
                    // The kernel closes the files of a process in the order of their numbers.
                    drop(listener);
                    drop(stream);
                    return;
                }
                Ok(Ok(_)) => {}
                failed => log::debug!("connection of a router: {failed:?}"),
            },
        }
    }
}

fn routes() -> [RouteText; 4] {
    let once = RouteText {
        resumable: false,
        ..RouteText::new("/digest/", "s", "streaming")
    };
    let chat = RouteText {
        attempts: 4,
        ..RouteText::new("/chat/", "s", "streaming")
    };
    let plain = RouteText::new("/plain/", "s", "idempotent");
    let charge = RouteText::new("/charge/", "s", "non_idempotent");
    [chat, once, plain, charge]
}

/// One router and this number of raw replicas that answer alike.
async fn raw_fleet(
    count: usize,
    answer: impl Fn(&Received) -> RawAnswer + Clone + Send + Sync + 'static,
) -> DirectFleet {
    let fleet = DirectFleet::start(1, "[memory]\nlimit = 128 MB\n").await;
    for index in 0..count {
        let listener = TcpListener::bind((fleet.standins(), 0)).await;
        let listener = listener.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let id = format!("i-raw-{index}");
        fleet.store.list_replica(&id, "s", address, "ready");
        tokio::spawn(run_raw(listener, answer.clone()));
    }
    fleet.store.publish(1, &routes());
    fleet.wait_until_ready().await;
    wait_until("the replicas are known", || {
        let log = fleet.routers[0].log_text();
        log.matches("upstream Ready").count() >= count
    })
    .await;
    fleet
}

async fn call(
    fleet: &DirectFleet,
    path: &str,
    id: &str,
) -> ClientAnswer {
    let request = ClientRequest::post(path, id, "prompt");
    Client::call_once(fleet.caller_addresses[0], &request).await
}

fn is_complete_success(answer: &ClientAnswer) -> bool {
    answer.status == 200 && answer.is_complete
}

// Answers that are not streams

/// Chunks override a length that is sent beside them.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_in_chunks_is_whole_whatever_length_is_sent_beside_them() {
    let body = "b".repeat(LONG_BODY_BYTES);
    let sent = body.clone();
    let fleet = raw_fleet(1, move |_| RawAnswer {
        headers: format!("Transfer-Encoding: chunked\r\nContent-Length: {WRONG_LENGTH}\r\n"),
        status: 200,
        body: chunk(&sent) + "0\r\n\r\n",
        end: End::KeepOpen,
    })
    .await;
    let got = call(&fleet, "/plain/", "id-1").await;
    assert!(is_complete_success(&got), "{}", got.status);
    assert_eq!(got.body.len(), body.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_cut_before_its_length_on_a_closing_connection_is_cut_visibly() {
    let fleet = raw_fleet(1, |_| RawAnswer {
        headers: format!("Connection: close\r\nContent-Length: {LONG_BODY_BYTES}\r\n"),
        status: 200,
        body: "b".repeat(LONG_BODY_BYTES - 1),
        end: End::Close,
    })
    .await;
    let got = call(&fleet, "/plain/", "id-1").await;
    assert!(got.status == 200 && !got.is_complete, "{}", got.status);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_without_a_body_are_complete() {
    for (status, headers) in [
        (204, ""),
        (304, "Content-Length: 12\r\n"),
        (200, "Content-Length: 12\r\n"),
    ] {
        let fleet = raw_fleet(1, move |_| RawAnswer {
            headers: headers.to_owned(),
            status,
            body: String::new(),
            end: End::KeepOpen,
        })
        .await;
        let method = if status == 200 { "HEAD" } else { "POST" };
        for path in ["/plain/", "/chat/"] {
            let mut client = Client::connect(fleet.caller_addresses[0])
                .await
                .expect("connects");
            let text = format!(
                "{method} {path} HTTP/1.1\r\nHost: app.example\r\nArchmast-Attempt-Id: id-1\r\nArchmast-Credential: key-1\r\nContent-Length: 0\r\n\r\n"
            );
            // The second answer follows the first one at once if that has no body.
            client.send(text.as_bytes()).await.expect("sent");
            let first = format!("HTTP/1.1 {status} ");
            assert!(client.wait_for(&first).await, "{status} {path}");
            assert!(client.wait_for("\r\n\r\n").await, "{status} {path}");
            client.send(text.as_bytes()).await.expect("sent");
            let both = timeout(PATIENCE, async {
                client.wait_for("\r\n\r\nHTTP/1.1 ").await
            });
            assert!(both.await.expect("an answer"), "{status} {path}");
        }
    }
}

// Streams

/// A crash between two events: what came is a whole number of events, but not the stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_replica_exits_between_two_events_is_cut_visibly() {
    let fleet = raw_fleet(1, |_| RawAnswer::unframed(&events(1..=4), End::Exit)).await;
    let got = call(&fleet, "/digest/", "id-1").await;
    assert!(!is_complete_success(&got), "{got:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_whose_replica_exits_between_two_events_goes_on_elsewhere() {
    let fleet = raw_fleet(2, |request| match request.last_event {
        0 => RawAnswer::unframed(&events(1..=4), End::Exit),
        last => RawAnswer::unframed(&events(last + 1..=LAST), End::Close),
    })
    .await;
    let got = call(&fleet, "/chat/", "id-1").await;
    assert!(is_complete_success(&got), "{got:?}");
    assert_eq!(got.text(), events(1..=LAST));
}

/// A replica that leaves in order ends after its last answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_resumable_stream_whose_replica_exits_after_it_is_complete() {
    let fleet = raw_fleet(2, |request| match request.last_event {
        0 => RawAnswer::unframed(&events(1..=LAST), End::Exit),
        last => RawAnswer::unframed(&events(last + 1..=LAST), End::Close),
    })
    .await;
    let got = call(&fleet, "/chat/", "id-1").await;
    assert!(is_complete_success(&got), "{got:?}");
    assert_eq!(got.text(), events(1..=LAST));
}

/// A crash in the middle of an answer that is not a stream.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_length_whose_replica_exits_is_an_error_answer() {
    let fleet = raw_fleet(1, |_| RawAnswer {
        headers: String::new(),
        status: 200,
        body: "the first half".to_owned(),
        end: End::Exit,
    })
    .await;
    let got = call(&fleet, "/charge/", "id-1").await;
    assert_eq!((got.status, got.code()), (502, Some(51)), "{got:?}");
}

/// The caller has the beginning already.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_without_length_whose_replica_exits_is_cut_visibly() {
    let fleet = raw_fleet(1, |_| RawAnswer {
        headers: String::new(),
        status: 200,
        body: "b".repeat(LONG_BODY_BYTES),
        end: End::Exit,
    })
    .await;
    let got = call(&fleet, "/charge/", "id-1").await;
    assert!(got.status == 200 && !got.is_complete, "{}", got.status);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_without_length_whose_replica_lives_on_is_whole() {
    let fleet = raw_fleet(1, |_| RawAnswer {
        headers: String::new(),
        status: 200,
        body: "b".repeat(LONG_BODY_BYTES),
        end: End::Close,
    })
    .await;
    let got = call(&fleet, "/charge/", "id-1").await;
    assert!(is_complete_success(&got), "{}", got.status);
    assert_eq!(got.body.len(), LONG_BODY_BYTES);
}

/// A plain route whose replica answers with events, more than a router buffers.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_stream_on_a_plain_route_that_ends_inside_an_event_is_cut_visibly() {
    for (rest, is_whole) in [("data: half", false), ("", true)] {
        let text = events(1..=LONG_STREAM_EVENTS) + rest;
        assert!(text.len() > LONG_BODY_BYTES);
        let fleet = raw_fleet(1, move |_| RawAnswer {
            headers: "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_owned(),
            status: 200,
            body: chunk(&text) + "0\r\n\r\n",
            end: End::KeepOpen,
        })
        .await;
        let got = call(&fleet, "/charge/", "id-1").await;
        assert_eq!((got.status, got.is_complete), (200, is_whole), "{rest}");
    }
}

/// The head of a stream, and then the end of the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_length_that_ends_before_its_first_event_is_an_error_answer() {
    let fleet = raw_fleet(1, |_| RawAnswer::unframed("", End::Exit)).await;
    let got = call(&fleet, "/digest/", "id-1").await;
    assert_eq!((got.status, got.code()), (502, Some(51)), "{got:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_second_replica_exits_before_its_first_event_is_not_complete() {
    let fleet = raw_fleet(2, |request| match request.last_event {
        0 => RawAnswer::unframed(&(events(1..=4) + "id: 5\nda"), End::Close),
        _ => RawAnswer::unframed("", End::Exit),
    })
    .await;
    let got = call(&fleet, "/chat/", "id-1").await;
    assert!(!is_complete_success(&got), "{got:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_off_twice_goes_on_in_any_framing() {
    let fleet = raw_fleet(3, |request| match request.last_event {
        0 => RawAnswer {
            headers: "Connection: close\r\nContent-Length: 1000\r\n".to_owned(),
            status: 200,
            body: events(1..=4) + "id: 5\nda",
            end: End::Close,
        },
        4 => RawAnswer::unframed(&(events(5..=6) + "id"), End::Close),
        last => RawAnswer {
            headers: "Transfer-Encoding: chunked\r\n".to_owned(),
            status: 200,
            body: chunk(&events(last + 1..=LAST)) + "0\r\n\r\n",
            end: End::KeepOpen,
        },
    })
    .await;
    let got = call(&fleet, "/chat/", "id-1").await;
    assert!(is_complete_success(&got), "{got:?}");
    assert_eq!(got.text(), events(1..=LAST));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_a_length_beside_its_chunks_is_relayed_whole() {
    let fleet = raw_fleet(1, |_| RawAnswer {
        headers: "Transfer-Encoding: chunked\r\nContent-Length: 30\r\n".to_owned(),
        status: 200,
        body: chunk(&events(1..=LAST)) + "0\r\n\r\n",
        end: End::KeepOpen,
    })
    .await;
    let got = call(&fleet, "/digest/", "id-1").await;
    assert!(is_complete_success(&got), "{got:?}");
    assert_eq!(got.text(), events(1..=LAST));
}

/// A route for streams may also answer with a document, which has no blank line at its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_document_on_a_streaming_route_is_relayed_whole() {
    let document = r#"{"object": "completion"}"#;
    for framing in ["Content-Length: 24\r\n", ""] {
        let end = match framing {
            "" => End::Close,
            _ => End::KeepOpen,
        };
        let fleet = raw_fleet(1, move |_| RawAnswer {
            headers: format!("Content-Type: application/json\r\n{framing}"),
            status: 200,
            body: document.to_owned(),
            end,
        })
        .await;
        for path in ["/digest/", "/chat/"] {
            let got = call(&fleet, path, "id-1").await;
            assert!(is_complete_success(&got), "{framing:?} {path}: {got:?}");
            assert_eq!(got.text(), document);
        }
    }
}

/// Another status than 200 does not make a stream complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_another_success_status_that_ends_inside_an_event_is_not_complete() {
    let fleet = raw_fleet(1, |_| RawAnswer {
        status: 201,
        ..RawAnswer::unframed(&(events(1..=4) + "id: 5\nda"), End::Close)
    })
    .await;
    let got = call(&fleet, "/digest/", "id-1").await;
    assert!(got.status >= 500 || !got.is_complete, "{got:?}");
}

/// A stream of events on a route that is not for streams.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_on_a_plain_route_that_ends_inside_an_event_is_not_complete() {
    let fleet = raw_fleet(1, |_| {
        RawAnswer::unframed(&(events(1..=4) + "id: 5\nda"), End::Close)
    })
    .await;
    let got = call(&fleet, "/plain/", "id-1").await;
    assert!(!is_complete_success(&got), "{got:?}");
}

// Callers

/// The answer to a request of HTTP/1.0 as it was received, and whether its connection was reset.
async fn answer_of_older_protocol(fleet: &DirectFleet) -> (String, bool) {
    let mut stream = TcpStream::connect(fleet.caller_addresses[0])
        .await
        .expect("connects");
    let request = "POST /digest/ HTTP/1.0\r\nHost: app.example\r\nArchmast-Attempt-Id: id-1\r\nArchmast-Credential: key-1\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut received = Vec::new();
    let ended = timeout(PATIENCE, stream.read_to_end(&mut received)).await;
    let ended = ended.expect("the answer ends");
    (
        String::from_utf8_lossy(&received).into_owned(),
        ended.is_err(),
    )
}

/// Without chunks, only a reset of the connection shows a caller that the answer was cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_of_an_older_protocol_sees_a_reset_where_a_stream_is_cut() {
    let fleet = raw_fleet(1, |_| {
        RawAnswer::unframed(&(events(1..=4) + "id: 5\nda"), End::Close)
    })
    .await;
    let (received, was_reset) = answer_of_older_protocol(&fleet).await;
    let has_begun = received.starts_with("HTTP/1.0 200");
    let is_framed = received.to_ascii_lowercase().contains("content-length");
    assert!(was_reset || !has_begun || is_framed, "{received:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_of_an_older_protocol_gets_whole_streams_without_a_reset() {
    let fleet = raw_fleet(1, |_| RawAnswer::unframed(&events(1..=LAST), End::Close)).await;
    let (received, was_reset) = answer_of_older_protocol(&fleet).await;
    assert!(received.starts_with("HTTP/1.0 200"), "{received:?}");
    assert!(received.ends_with(&events(1..=LAST)) && !was_reset);
}

/// A router whose caller does not read, with an answer of `UNREAD_EVENTS` events that was read to
/// its cut, and the caller's connection.
async fn unread_cut() -> (DirectFleet, TcpStream) {
    let body: String = (1..=UNREAD_EVENTS).map(|id| chunk(&event(id))).collect();
    let body = body + &chunk("id: ") + "0\r\n\r\n";
    let fleet = raw_fleet(1, move |_| RawAnswer {
        headers: "Transfer-Encoding: chunked\r\n".to_owned(),
        status: 200,
        body: body.clone(),
        end: End::KeepOpen,
    })
    .await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("a socket option");
    let stream = socket.connect(fleet.caller_addresses[0]).await;
    let mut stream = stream.expect("connects");
    let request = ClientRequest::post("/digest/", "id-1", "prompt");
    let sent = stream.write_all(&request.bytes()).await;
    sent.expect("the request is sent");
    wait_until("the stream has been read to its cut", || {
        fleet.routers[0].log_text().contains(r#""how":"cut""#)
    })
    .await;
    (fleet, stream)
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_before_a_cut_is_lost_for_a_caller_that_reads_slowly() {
    let (_fleet, mut stream) = unread_cut().await;
    let mut received = Vec::new();
    let ended = timeout(PATIENCE, stream.read_to_end(&mut received)).await;
    let ended = ended.expect("the answer ends");
    let received = String::from_utf8_lossy(&received);
    let number = |id: &str| id.trim().parse::<u32>().ok();
    let ids = received.split("id: ").skip(1);
    let last = ids
        .filter_map(|text| number(text.split('\n').next()?))
        .last();
    assert_eq!(last, Some(UNREAD_EVENTS), "{ended:?}");
    assert!(!received.ends_with("0\r\n\r\n"));
}

/// A cut that waits for a caller that reads nothing holds up neither the caller's leaving nor the
/// end of the router.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_that_waits_for_its_caller_ends_when_the_caller_leaves() {
    let (mut fleet, stream) = unread_cut().await;
    drop(stream);
    fleet.routers[0].terminate();
    wait_until("the router exits", || {
        fleet.routers[0].exit_status().is_some()
    })
    .await;
    let log = fleet.routers[0].log_text();
    assert!(log.contains(r#""all_answered":"true""#));
}

async fn two_replicas(answer: ReplicaAnswer) -> (DirectFleet, [Replica; 2]) {
    DirectFleet::with_two_replicas(answer, &routes()).await
}

/// A cut comes after whole answers on the same connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_after_other_answers_on_a_connection_is_visible() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::events(LAST)).await;
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("connects");
    for number in 0..5 {
        let request = ClientRequest::post("/digest/", &format!("id-{number}"), "prompt");
        let got = client.call(&request).await;
        assert!(is_complete_success(&got), "{got:?}");
        assert_eq!(got.text(), events(1..=LAST));
    }
    for replica in &replicas {
        replica.set_default_answer(ReplicaAnswer::EventsBroken {
            framing: Framing::Chunks,
            after: 4,
            part: 4,
            last: LAST,
        });
    }
    let request = ClientRequest::post("/digest/", "id-cut", "prompt");
    let got = timeout(PATIENCE, client.call(&request)).await;
    let got = got.expect("the answer ends");
    assert!(got.status == 200 && !got.is_complete, "{got:?}");
    assert_eq!(got.text(), events(1..=4));
}

/// The caller sends its next request before the answer to the first one has ended.
#[tokio::test(flavor = "multi_thread")]
async fn no_error_answer_of_the_router_completes_an_answer_that_its_neighbour_began() {
    let (mut fleet, _replica) = forwarding_fleet().await;
    let listener = TcpListener::bind((fleet.standins(), 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    fleet.store.list_replica("i-raw", "long", address, "ready");
    tokio::spawn(run_raw(listener, |_| RawAnswer {
        headers: format!("Content-Length: {LONG_BODY_BYTES}\r\n"),
        status: 200,
        body: "b".repeat(LONG_BODY_BYTES - MISSING_BYTES),
        end: End::KeepOpen,
    }));
    let long = RouteText::new("/long/", "long", "non_idempotent");
    fleet.store.publish(2, &[long]);
    for router in [0, 1] {
        fleet.wait_until_served(router, "/plain/", 404).await;
    }
    wait_until("the neighbour knows the replica", || {
        fleet.routers[1].log_text().contains("i-raw")
    })
    .await;
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("connects");
    let first = ClientRequest::get("/long/", "id-1");
    client.send(&first.bytes()).await.expect("sent");
    let begun = "b".repeat(LONG_BODY_BYTES - MISSING_BYTES);
    assert!(client.wait_for(&begun).await);
    wait_until("the neighbour sent it", || fleet.was_sent_by(1, "id-1")).await;
    let second = ClientRequest::get("/long/", "id-2");
    client.send(&second.bytes()).await.expect("sent");
    // Nothing shows that the router in between has read the request.
    tokio::time::sleep(RELAY_TIME).await;
    fleet.routers[1].kill();
    let got = timeout(PATIENCE, client.answer()).await;
    let got = got.expect("the answer ends");
    let foreign = got.body.iter().filter(|byte| **byte != b'b').count();
    assert_eq!((got.status, got.is_complete, foreign), (200, false, 0));
}
