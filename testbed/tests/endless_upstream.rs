//! The product's own form: an upstream may send bytes that are no answer, in a head or in a body,
//! without an end. Its request ends in time, and takes no memory that others need.

use {
    archmast_testbed::{
        fleet::{Fleet, FleetPlan, FleetText, resident_bytes},
        standin::{AnswerFraming, FramedAnswer},
    },
    reqwest::Method,
    std::time::{Duration, Instant},
};

/// Bytes that the upstream sends at once, again and again.
const PIECE_BYTES: usize = 64 << 10;

/// How long an upstream may be silent, and how much later a request without a head may end.
const SILENCE_LIMIT: Duration = Duration::from_millis(500);
const TOLERANCE: Duration = Duration::from_millis(1500);

/// How long an answer may last of which nothing but bytes without content comes.
const MAX_BODY_TIME: Duration = Duration::from_secs(20);

/// How much router and sidecar may grow together: the bound on an answer without a length, twice.
const MAX_GROWTH: usize = 160 << 20;

async fn fleet() -> Fleet {
    let text = FleetText::default()
        .class("chat", "20 s")
        .models("drafting", "drafter")
        .plain("gates", "/gate")
        .account("lot-a", 1.0, "chat", "");
    let plan = FleetPlan::new(text).routers(1).framed(1, false);
    let limit = format!("{} ms", SILENCE_LIMIT.as_millis());
    Fleet::start(plan.set_sidecar("upstream.silence_limit", &limit)).await
}

fn resident(fleet: &Fleet) -> usize {
    let router = fleet.routers[0].process.id();
    resident_bytes(router) + resident_bytes(fleet.sidecars[0].process.id())
}

/// Sends a request to an upstream that sends `piece` without an end, and reads the answer without
/// keeping it. Returns the status and how long it took.
async fn play(
    piece: &str,
    framing: AnswerFraming,
    content_type: &str,
) -> (u16, Duration) {
    let fleet = fleet().await;
    let body = piece.repeat(PIECE_BYTES / piece.len());
    let answer = FramedAnswer::new(content_type, body, framing).repeat();
    fleet.sidecars[0].upstream.framed().set_answer(answer);
    let before = resident(&fleet);
    let begun = Instant::now();
    let request = fleet.caller(0, "lot-a").request(Method::POST, "/gate/x");
    let mut response = request.send().await.expect("an answer");
    let status = response.status().as_u16();
    let mut grown = 0;
    while begun.elapsed() < MAX_BODY_TIME {
        grown = grown.max(resident(&fleet).saturating_sub(before));
        match response.chunk().await {
            Ok(Some(_)) => {}
            Ok(None) | Err(_) => break,
        }
    }
    assert!(grown <= MAX_GROWTH, "memory grew by {grown} bytes");
    (status, begun.elapsed())
}

async fn assert_no_head(piece: &str) {
    let (status, took) = play(piece, AnswerFraming::NoHead, "text/plain").await;
    assert!(status >= 500, "{status}");
    assert!(took <= SILENCE_LIMIT + TOLERANCE, "{took:?}");
}

async fn assert_endless_body(
    piece: &str,
    content_type: &str,
) {
    let (_, took) = play(piece, AnswerFraming::UntilClose, content_type).await;
    assert!(took < MAX_BODY_TIME, "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn junk_in_place_of_a_head_ends_its_request() {
    assert_no_head("x").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn interim_heads_without_an_end_end_their_request() {
    assert_no_head("HTTP/1.1 100 Continue\r\n\r\n").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_an_end_ends_its_request() {
    assert_endless_body("x", "text/plain").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_event_without_an_end_ends_its_stream() {
    assert_endless_body("x", "text/event-stream").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn blank_lines_without_an_end_end_their_stream() {
    assert_endless_body("\n", "text/event-stream").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn comments_without_an_end_end_their_stream() {
    assert_endless_body(": x\n", "text/event-stream").await;
}
