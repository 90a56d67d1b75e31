use {
    super::{
        attempt_end::AttemptEnd,
        event_end::EventEnd,
        event_splitter::EventSplitter,
        exchange::{Exchange, NoReply, StartedAnswer},
        late_bytes::LateBytes,
        live_answer::LiveAnswer,
        reply::{copy_head, cut_error, replica_reply},
        successor::Waited,
        timeout_unless_ready::timeout_unless_ready,
        whole_answer::check_whole,
    },
    crate::callers::{ReplyBody, full_body},
    bytes::{Bytes, BytesMut},
    futures::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::{Response, body::Frame, header::CONTENT_LENGTH},
    std::{io, pin::pin, time::Duration},
    tokio::time::Instant,
};

/// Answers up to this size are buffered completely before any byte is sent to the caller, so
/// that a truncated one can be retried or answered with an error.
const MAX_BUFFERED_ANSWER_BYTES: usize = 256 << 10;

/// Relays a replica's answer that is not a stream of events. Fails, so that the call may be
/// retried, if the answer is truncated, late, or a server error that was buffered.
pub async fn plain_reply(
    exchange: &mut Exchange,
    started: StartedAnswer,
) -> Result<Response<ReplyBody>, NoReply> {
    let since = exchange.gateway.now();
    let mut reading = pin!(Some(read_buffered(started.answer)));
    let body = reading.as_mut().as_pin_mut().expect("just set");
    let outcome = match timeout_unless_ready(started.timeout, body).await {
        Some(outcome) => outcome,
        None => match exchange.await_silent(&mut reading, since, None).await {
            Ok(Waited::Output(outcome)) => outcome,
            Ok(Waited::Deadline) => {
                let waited = exchange.gateway.now().saturating_sub(since);
                Err(AttemptEnd::timed_out("whole answer", waited))
            }
            Ok(Waited::Replaced(started)) => return Err(NoReply::Replaced(started)),
            Err(error) => return Err(NoReply::Unanswered(error)),
        },
    };
    let (answer, buffered, is_whole) = outcome.map_err(NoReply::Ended)?;
    if is_whole {
        let is_events = answer.is_event_stream() == Some(true);
        let is_inside_event = is_events && ends_inside_event(&buffered);
        let checked = check_whole(&answer, is_inside_event).await;
        checked.map_err(NoReply::Ended)?;
    }
    let status = answer.head.status;
    let is_failure = status.is_server_error();
    if !is_failure {
        exchange.record_plain_success();
    }
    if is_whole && status.is_success() {
        exchange.record_request_success();
    }
    if is_whole {
        let length = (exchange.call.method != hyper::Method::HEAD).then_some(buffered.len());
        let reply = replica_reply(answer.head, full_body(buffered), length);
        if !is_failure {
            return Ok(reply);
        }
        exchange.set_failure(reply);
        return Err(NoReply::Ended(AttemptEnd::Failed {
            status: status.as_u16(),
        }));
    }
    let time_left = exchange.time_left();
    Ok(streamed_reply(answer, buffered, time_left))
}

fn ends_inside_event(stream: &[u8]) -> bool {
    let mut splitter = EventSplitter::default();
    splitter.push(stream);
    splitter.is_inside_event()
}

/// Reads an answer to its end, or until it exceeds the buffer. Returns it with the bytes, and
/// whether they are the whole answer.
async fn read_buffered(mut answer: LiveAnswer) -> Result<(LiveAnswer, Bytes, bool), AttemptEnd> {
    let mut buffered = BytesMut::new();
    while buffered.len() <= MAX_BUFFERED_ANSWER_BYTES {
        match answer.next_chunk().await? {
            Some(chunk) => buffered.extend_from_slice(&chunk),
            None => return Ok((answer, buffered.freeze(), true)),
        }
    }
    Ok((answer, buffered.freeze(), false))
}

/// Streams an answer that exceeds the buffer to the caller, until `time_left` is over.
fn streamed_reply(
    answer: LiveAnswer,
    buffered: Bytes,
    time_left: Duration,
) -> Response<ReplyBody> {
    let head = copy_head(&answer.head);
    let length = head
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let deadline = Instant::now() + time_left;
    let event_end = (answer.is_event_stream() == Some(true)).then(EventEnd::default);
    let pieces = stream::unfold(
        (Some(buffered), event_end, LateBytes::default(), answer),
        move |(first, mut event_end, mut late, mut answer)| async move {
            let next = match first {
                Some(first) => Some(Ok(Some(first))),
                None => {
                    let limit = deadline.saturating_duration_since(Instant::now());
                    timeout_unless_ready(limit, next_of_whole(&mut answer, event_end)).await
                }
            };
            let piece: Result<_, io::Error> = match next {
                Some(Ok(Some(chunk)))
                    if Instant::now() >= deadline && !late.admit(&answer, chunk.len()) =>
                {
                    Err(cut_error("deadline exceeded"))
                }
                Some(Ok(Some(chunk))) => {
                    if let Some(event_end) = &mut event_end {
                        event_end.push(&chunk);
                    }
                    Ok(Frame::data(chunk))
                }
                Some(Ok(None)) => return None,
                Some(Err(end)) => Err(cut_error(format!("{end:?}"))),
                None => Err(cut_error("deadline exceeded")),
            };
            Some((piece, (None, event_end, late, answer)))
        },
    );
    replica_reply(head, StreamBody::new(pieces).boxed_unsync(), length)
}

/// The next bytes of an answer; `None` at its end if it is whole. `event_end` is that of the bytes
/// so far if it is a stream of events.
async fn next_of_whole(
    answer: &mut LiveAnswer,
    event_end: Option<EventEnd>,
) -> Result<Option<Bytes>, AttemptEnd> {
    let chunk = answer.next_chunk().await?;
    if chunk.is_none() {
        let is_inside_event = event_end.is_some_and(|end| end.is_inside_event());
        check_whole(answer, is_inside_event).await?;
    }
    Ok(chunk)
}
