//! Guarantee 3, by the way in which an upstream's answer ends: a caller gets every byte of a
//! complete answer, and of a truncated one whole events and a visible error. How an answer ends
//! (its length is reached, the last chunk, a close, a reset) does not show that it is complete: a
//! stream of events that ends inside an event is truncated.

use {
    archmast_testbed::{
        fleet::{Fleet, FleetPlan, FleetText, Outcome, account_key, nonce},
        standin::{
            AnswerFraming::{self, Chunks, ChunksWithoutLast, DeclaredLength, UntilClose},
            ChatBody, FramedAnswer,
        },
    },
    reqwest::{Method, Response},
    std::{
        io::{Read, Write},
        net::TcpStream,
        time::Duration,
    },
};

const EVENTS: &str = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";

/// More than a router buffers of an answer that declares its length.
const LONG_BODY_BYTES: usize = 2 << 20;

/// More than a router takes of an answer that declares no length.
const TOO_LONG_BODY_BYTES: usize = 65 << 20;

/// Bounds a failing run: far longer than events need to arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

async fn fleet(is_model: bool) -> Fleet {
    Fleet::start(plan(is_model)).await
}

fn plan(is_model: bool) -> FleetPlan {
    let text = FleetText::default()
        .class("chat", "20 s")
        .models("drafting", "drafter")
        .plain("gates", "/gate")
        .account("lot-a", 1.0, "chat", "");
    FleetPlan::new(text).routers(1).framed(1, is_model)
}

/// The answer to a request that may run once, which no router repeats.
async fn ask(
    fleet: &Fleet,
    method: Method,
    answer: FramedAnswer,
) -> Response {
    fleet.sidecars[0].upstream.framed().set_answer(answer);
    let request = fleet.caller(0, "lot-a").request(method, "/gate/events");
    request.send().await.expect("an answer")
}

/// The body of a streamed answer, which the router always ends in order.
async fn events(
    fleet: &Fleet,
    answer: FramedAnswer,
) -> String {
    let response = ask(fleet, Method::POST, answer).await;
    assert_eq!(response.status(), 200);
    response.text().await.expect("a body that ends in order")
}

/// Asserts that a caller got these events, one event named `error` that says that the answer was
/// cut, and nothing else.
fn assert_cut(
    text: &str,
    events: &str,
) {
    assert_ended(text, events, 51);
}

/// Asserts that a caller got these events, one event named `error` with this code, and nothing
/// else.
fn assert_ended(
    text: &str,
    events: &str,
    code: u16,
) {
    let error = text.strip_prefix(events);
    let error = error.unwrap_or_else(|| panic!("{events:?} expected first: {text:?}"));
    let data = error.strip_prefix("event: error\ndata: ");
    let data = data.unwrap_or_else(|| panic!("an error event expected: {text:?}"));
    let outcome = format!(r#""code":{code},"ran":"unknown""#);
    assert!(data.contains(&outcome), "{text:?}");
    assert_eq!(data.find("\n\n"), Some(data.len() - 2), "{text:?}");
}

/// The framings of an answer whose end is in order.
fn framings(text: &str) -> [AnswerFraming; 3] {
    [DeclaredLength(text.len()), Chunks, UntilClose]
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_inside_an_event_is_cut_whatever_its_framing() {
    let fleet = fleet(false).await;
    for partial in [
        "id: 3",
        "id: 3\nda",
        "data: piece 3",
        "id: 3\ndata: piece 3\n",
    ] {
        for whole in ["", EVENTS] {
            let text = format!("{whole}{partial}");
            for framing in framings(&text) {
                let got = events(&fleet, FramedAnswer::events(&text, framing)).await;
                assert_cut(&got, whole);
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_after_an_event_is_whole_whatever_its_framing() {
    let fleet = fleet(false).await;
    let endings = ["", "\n", "\r\n", ": a comment\n", ": a comment\n\n"];
    let mut texts: Vec<String> = endings.map(|end| format!("{EVENTS}{end}")).into();
    texts.push(EVENTS.replace('\n', "\r\n"));
    texts.push(EVENTS.replace('\n', "\r"));
    texts.push(String::new());
    for text in texts {
        for framing in framings(&text) {
            let got = events(&fleet, FramedAnswer::events(&text, framing)).await;
            assert_eq!(got, text, "{framing:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_cut_after_whole_events_ends_in_an_error_event() {
    let fleet = fleet(false).await;
    let broken = [
        FramedAnswer::events(EVENTS, UntilClose).reset(),
        FramedAnswer::events(EVENTS, ChunksWithoutLast),
        FramedAnswer::events(EVENTS, ChunksWithoutLast).reset(),
        FramedAnswer::events(EVENTS, DeclaredLength(EVENTS.len() + 1)),
        FramedAnswer::events(EVENTS, DeclaredLength(EVENTS.len() + 1)).reset(),
    ];
    for answer in broken {
        assert_cut(&events(&fleet, answer).await, EVENTS);
    }
    // A reset after the last chunk takes nothing from the answer.
    let answer = FramedAnswer::events(EVENTS, Chunks).reset();
    assert_eq!(events(&fleet, answer).await, EVENTS);
}

/// Guards against an error event that is read as the end of the event before it.
#[tokio::test(flavor = "multi_thread")]
async fn the_error_event_of_a_cut_stream_is_not_joined_to_a_partial_event() {
    let fleet = fleet(false).await;
    for partial in ["da", "data: piece 3", "data: piece 3\n"] {
        let text = format!("{EVENTS}{partial}");
        let broken = [
            FramedAnswer::events(&text, UntilClose).reset(),
            FramedAnswer::events(&text, ChunksWithoutLast),
            FramedAnswer::events(&text, DeclaredLength(text.len() + 1)),
        ];
        for answer in broken {
            assert_cut(&events(&fleet, answer).await, EVENTS);
        }
    }
}

/// The first `length` bytes of a body that goes on.
async fn read_bytes(
    response: &mut Response,
    length: usize,
) -> Vec<u8> {
    let mut got = Vec::new();
    let reading = async {
        while got.len() < length {
            let chunk = response.chunk().await.expect("a stream");
            got.extend_from_slice(&chunk.expect("more events"));
        }
    };
    let is_read = tokio::time::timeout(READ_TIMEOUT, reading).await.is_ok();
    assert!(is_read, "{:?}", String::from_utf8_lossy(&got));
    got
}

/// Comments between events keep connections alive. They are no part of an event that is held
/// back, and nor is an event that carriage returns end.
#[tokio::test(flavor = "multi_thread")]
async fn a_comment_between_events_is_passed_on_at_once() {
    let fleet = fleet(false).await;
    for text in [
        format!("{EVENTS}: ping\n"),
        format!("{EVENTS}: ping\r\n"),
        EVENTS.replace('\n', "\r"),
    ] {
        let answer = FramedAnswer::events(&text, UntilClose).keep_open();
        let mut response = ask(&fleet, Method::POST, answer).await;
        let got = read_bytes(&mut response, text.len()).await;
        assert_eq!(String::from_utf8_lossy(&got), text);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_event_over_the_bound_is_an_error() {
    let fleet = fleet(false).await;
    let mut text = String::from("data: ");
    text.extend(std::iter::repeat_n('x', TOO_LONG_BODY_BYTES));
    text.push_str("\n\n");
    let got = events(&fleet, FramedAnswer::events(&text, UntilClose)).await;
    assert_ended(&got, "", 61);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_sidecar_is_killed_ends_in_an_error_event() {
    for partial in ["", "id: 3\ndata: pie"] {
        let mut fleet = fleet(false).await;
        let text = format!("{EVENTS}{partial}");
        let answer = FramedAnswer::events(&text, UntilClose).keep_open();
        let mut response = ask(&fleet, Method::POST, answer).await;
        let mut got = read_bytes(&mut response, EVENTS.len()).await;
        fleet.sidecars[0].process.kill();
        while let Some(chunk) = response.chunk().await.expect("an end in order") {
            got.extend_from_slice(&chunk);
        }
        assert_cut(&String::from_utf8_lossy(&got), EVENTS);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_upstream_falls_silent_ends_in_an_error_event() {
    let plan = plan(false).set_sidecar("upstream.silence_limit", "300 ms");
    let fleet = Fleet::start(plan).await;
    for partial in ["", "id: 3\ndata: pie"] {
        let text = format!("{EVENTS}{partial}");
        for framing in [
            UntilClose,
            ChunksWithoutLast,
            DeclaredLength(text.len() + 1),
        ] {
            let answer = FramedAnswer::events(&text, framing).keep_open();
            assert_ended(&events(&fleet, answer).await, EVENTS, 58);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_error_event_of_a_cut_chat_stream_is_not_joined_to_a_partial_event() {
    let fleet = fleet(true).await;
    let event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n";
    for partial in [
        "",
        "data: {\"choices\":[{\"ind",
        "data: [DONE",
        "data: [DONE]",
    ] {
        for framing in framings(&format!("{event}{partial}")) {
            let got = chat_text(&fleet, &format!("{event}{partial}"), framing).await;
            assert_chat_cut(&got, event);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_stream_whose_end_mark_is_no_whole_event_is_cut() {
    let fleet = fleet(true).await;
    let event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n";
    let text = format!("{event}data: [DONE]\n");
    for framing in framings(&text) {
        assert_chat_cut(&chat_text(&fleet, &text, framing).await, event);
    }
    let whole = format!("{event}data: [DONE]\n\n");
    for framing in framings(&whole) {
        assert_eq!(chat_text(&fleet, &whole, framing).await, whole);
    }
}

async fn chat_text(
    fleet: &Fleet,
    text: &str,
    framing: AnswerFraming,
) -> String {
    let answer = FramedAnswer::events(text, framing);
    fleet.sidecars[0].upstream.framed().set_answer(answer);
    let body = ChatBody::new("drafter", "prefix", &nonce(), 1, true);
    let request = fleet
        .caller(0, "lot-a")
        .request(Method::POST, "/v1/chat/completions");
    let response = request.json(&body).send().await.expect("an answer");
    assert_eq!(response.status(), 200);
    response.text().await.expect("a body that ends in order")
}

/// Asserts that a caller got these events and one error event of the chat-completions API.
fn assert_chat_cut(
    text: &str,
    events: &str,
) {
    let error = text.strip_prefix(events).expect(text);
    let data = error.strip_prefix("data: {\"error\":").expect(text);
    assert!(data.contains(r#""code":51,"ran":"unknown""#), "{text:?}");
    assert_eq!(data.find("\n\n"), Some(data.len() - 2), "{text:?}");
}

/// The media type of a stream is compared without regard to case, also where it decides that a
/// chat stream needs its end mark.
#[tokio::test(flavor = "multi_thread")]
async fn a_media_type_in_capitals_is_an_event_stream() {
    let partial = format!("{EVENTS}data: pie");
    let capitals = |text: &str| FramedAnswer::new("Text/Event-Stream", text, UntilClose);
    let plain = fleet(false).await;
    assert_cut(&events(&plain, capitals(&partial)).await, EVENTS);
    let chat = fleet(true).await;
    chat.sidecars[0]
        .upstream
        .framed()
        .set_answer(capitals(EVENTS));
    let body = ChatBody::new("drafter", "prefix", &nonce(), 1, true);
    let outcome = chat.caller(0, "lot-a").chat(&body).await;
    assert_eq!(outcome, Outcome::Truncated);
}

/// The bytes of an encoded stream cannot be searched for events.
#[tokio::test(flavor = "multi_thread")]
async fn an_encoded_stream_is_passed_on_as_it_is() {
    let fleet = fleet(false).await;
    let answer = FramedAnswer::events("not a text of events", Chunks);
    let got = events(&fleet, answer.header("Content-Encoding", "gzip")).await;
    assert_eq!(got, "not a text of events");
}

/// An encoded chat stream can be searched for neither its end mark nor the tokens it cost.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_are_not_asked_to_encode_chat_streams() {
    for (is_model, path) in [(true, "/v1/chat/completions"), (false, "/gate/events")] {
        let fleet = fleet(is_model).await;
        let upstream = fleet.sidecars[0].upstream.framed();
        upstream.set_answer(FramedAnswer::events("data: [DONE]\n\n", Chunks));
        let body = ChatBody::new("drafter", "prefix", &nonce(), 1, true);
        let request = fleet.caller(0, "lot-a").request(Method::POST, path);
        let request = request.header("Accept-Encoding", "gzip").json(&body);
        let response = request.send().await.expect("an answer");
        assert_eq!(response.text().await.expect("a body"), "data: [DONE]\n\n");
        let is_asked = upstream.last_head().contains("\naccept-encoding: gzip\n");
        assert_eq!(is_asked, !is_model, "{}", upstream.last_head());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_stream_that_its_upstream_encoded_unasked_is_no_whole_answer() {
    let fleet = fleet(true).await;
    let answer = FramedAnswer::events("encoded", Chunks).header("Content-Encoding", "gzip");
    fleet.sidecars[0].upstream.framed().set_answer(answer);
    let body = ChatBody::new("drafter", "prefix", &nonce(), 1, true);
    let request = fleet
        .caller(0, "lot-a")
        .request(Method::POST, "/v1/chat/completions");
    let response = request.json(&body).send().await.expect("an answer");
    let text = response.text().await.expect("a body");
    assert_chat_cut(&text, "encoded");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_no_stream_is_whole_or_an_error() {
    let fleet = fleet(false).await;
    for size in [0, 10, LONG_BODY_BYTES] {
        let plain = |framing| FramedAnswer::new("text/plain", vec![b'x'; size], framing);
        for framing in [DeclaredLength(size), Chunks, UntilClose] {
            let response = ask(&fleet, Method::POST, plain(framing)).await;
            assert_eq!(response.status(), 200);
            let body = response.bytes().await.expect("a whole body");
            assert_eq!(body.len(), size, "{framing:?}");
        }
        for broken in [
            plain(UntilClose).reset(),
            plain(ChunksWithoutLast),
            plain(DeclaredLength(size + 1)),
            plain(DeclaredLength(size + 1)).reset(),
        ] {
            let framing = broken.framing;
            let response = ask(&fleet, Method::POST, broken).await;
            let is_declared = matches!(framing, DeclaredLength(_));
            if is_declared && size == LONG_BODY_BYTES {
                let cut = response.bytes().await;
                assert!(
                    cut.is_err(),
                    "{framing:?}: {:?}",
                    cut.map(|body| body.len())
                );
            } else {
                assert_eq!(response.status(), 502, "{size} {framing:?}");
                let text = response.text().await.expect("an error");
                assert!(text.contains(r#""code":51,"ran":"unknown""#), "{text}");
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_over_the_bound_without_a_length_is_an_error() {
    let fleet = fleet(false).await;
    let body = vec![b'x'; TOO_LONG_BODY_BYTES];
    let answer = FramedAnswer::new("text/plain", body, UntilClose);
    let response = ask(&fleet, Method::POST, answer).await;
    assert_eq!(response.status(), 502);
    let text = response.text().await.expect("an error");
    assert!(text.contains(r#""code":61,"ran":"unknown""#), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_a_head_request_keeps_its_declared_length() {
    let fleet = fleet(false).await;
    for length in [10, LONG_BODY_BYTES] {
        let answer = FramedAnswer::new("text/plain", "", DeclaredLength(length));
        let response = ask(&fleet, Method::HEAD, answer).await;
        assert_eq!(response.status(), 200);
        let declared = response.headers().get("content-length").cloned();
        assert_eq!(declared.expect("a length"), length.to_string().as_str());
        assert_eq!(response.bytes().await.expect("no body").len(), 0);
    }
    for answer in [
        FramedAnswer::new("text/plain", "", UntilClose),
        FramedAnswer::events("", Chunks),
    ] {
        let response = ask(&fleet, Method::HEAD, answer).await;
        assert_eq!(response.status(), 200);
        assert_eq!(response.headers().get("content-length"), None);
        assert_eq!(response.bytes().await.expect("no body").len(), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_nothing_was_modified_keeps_its_declared_length() {
    let fleet = fleet(false).await;
    let answer = FramedAnswer::new("text/plain", "", DeclaredLength(10)).status(304);
    let response = ask(&fleet, Method::GET, answer).await;
    assert_eq!(response.status(), 304);
    let declared = response.headers().get("content-length").cloned();
    assert_eq!(declared.expect("a length"), "10");
    let answer = FramedAnswer::new("text/plain", "", UntilClose).status(304);
    let response = ask(&fleet, Method::GET, answer).await;
    assert_eq!(response.status(), 304);
    assert_eq!(response.headers().get("content-length"), None);
}

/// A message with both has the length of its chunks; the declared one is to be ignored.
#[tokio::test(flavor = "multi_thread")]
async fn a_length_declared_beside_chunks_cuts_nothing() {
    let fleet = fleet(false).await;
    for declared in [10, LONG_BODY_BYTES - 10, LONG_BODY_BYTES + 10] {
        let answer = FramedAnswer::new("text/plain", vec![b'x'; LONG_BODY_BYTES], Chunks);
        let answer = answer.header("Content-Length", &declared.to_string());
        let response = ask(&fleet, Method::POST, answer).await;
        let body = response.bytes().await.expect("a whole body");
        assert_eq!(body.len(), LONG_BODY_BYTES, "{declared} declared");
    }
}

/// Head and body that a caller of HTTP/1.0 gets until its connection ends.
async fn http_1_0_answer(
    fleet: &Fleet,
    answer: FramedAnswer,
) -> (String, Vec<u8>) {
    fleet.sidecars[0].upstream.framed().set_answer(answer);
    let address = fleet.routers[0].callers;
    let key = account_key("lot-a");
    let request = format!(
        "POST /gate/events HTTP/1.0\r\nAuthorization: Bearer {key}\r\nContent-Length: 0\r\n\r\n"
    );
    let read = tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(address).expect("connected");
        stream.write_all(request.as_bytes()).expect("sent");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).expect("a close, no reset");
        bytes
    });
    let bytes = read.await.expect("a caller");
    let head_end = bytes.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let head_end = head_end.expect("a head");
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
    (head, bytes[head_end + 4..].to_vec())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_without_chunks_sees_a_cut_too() {
    let fleet = fleet(false).await;
    let partial = format!("{EVENTS}data: pie");
    for framing in framings(&partial) {
        let (head, body) = http_1_0_answer(&fleet, FramedAnswer::events(&partial, framing)).await;
        assert!(!head.contains("chunked"), "{head}");
        assert_cut(&String::from_utf8_lossy(&body), EVENTS);
    }
    let (_, body) = http_1_0_answer(&fleet, FramedAnswer::events(EVENTS, UntilClose)).await;
    assert_eq!(String::from_utf8_lossy(&body), EVENTS);
    let long = vec![b'x'; LONG_BODY_BYTES];
    let answer = FramedAnswer::new("text/plain", long, DeclaredLength(LONG_BODY_BYTES + 1));
    let (head, body) = http_1_0_answer(&fleet, answer).await;
    let declared = format!("content-length: {}", LONG_BODY_BYTES + 1);
    assert!(head.contains(&declared), "{head}");
    assert!(body.len() <= LONG_BODY_BYTES);
    let answer = FramedAnswer::new("text/plain", "short", UntilClose).reset();
    let (head, body) = http_1_0_answer(&fleet, answer).await;
    assert!(head.starts_with("http/1.0 502"), "{head}");
    assert!(String::from_utf8_lossy(&body).contains(r#""code":51"#));
}
