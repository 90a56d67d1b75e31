use {
    super::{
        attempt_end::AttemptEnd,
        exchange::{Begun, Exchange},
        live_answer::LiveAnswer,
        reply::{ReplyBody, copy_head, cut, replica_reply, whole_body},
    },
    crate::codes::ResultCode,
    bytes::{Bytes, BytesMut},
    futures::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::{Response, body::Frame, header::CONTENT_LENGTH},
    std::{io, time::Duration},
    tokio::time::timeout,
};

/// Answers up to this size are taken whole before the caller gets any of them,
/// so that a cut one becomes a plain error or is tried again.
const KEPT_ANSWER: usize = 256 << 10;

/// Answers a call with a replica's answer that is no stream of events.
pub async fn plain_reply(
    exchange: &mut Exchange,
    begun: Begun,
) -> Result<Response<ReplyBody>, AttemptEnd> {
    let mut answer = begun.answer;
    let (kept, is_whole) = match timeout(begun.limit, read_start(&mut answer)).await {
        Ok(outcome) => outcome?,
        Err(_) => return Err(too_late(begun.limit)),
    };
    let status = answer.head.status;
    let failed = status.is_server_error();
    if !failed {
        exchange.note_plain_success();
    }
    if is_whole && status.is_success() {
        exchange.note_request_success();
    }
    if is_whole {
        let length = (exchange.call.method != hyper::Method::HEAD).then_some(kept.len());
        let reply = replica_reply(answer.head, whole_body(kept), length);
        if !failed {
            return Ok(reply);
        }
        exchange.keep_failure(reply);
        return Err(AttemptEnd::Failed {
            status: status.as_u16(),
        });
    }
    let left = exchange.time_left();
    Ok(long_reply(answer, kept, left))
}

fn too_late(limit: Duration) -> AttemptEnd {
    AttemptEnd::Unknown {
        code: ResultCode::UpstreamTimeout,
        detail: format!("no whole answer in {} ms", limit.as_millis()),
    }
}

/// Reads an answer to its end, or until it is too long to be kept.
async fn read_start(answer: &mut LiveAnswer) -> Result<(Bytes, bool), AttemptEnd> {
    let mut kept = BytesMut::new();
    while kept.len() <= KEPT_ANSWER {
        match answer.chunk().await? {
            Some(chunk) => kept.extend_from_slice(&chunk),
            None => return Ok((kept.freeze(), true)),
        }
    }
    Ok((kept.freeze(), false))
}

/// Passes a long answer on as it comes.
fn long_reply(
    answer: LiveAnswer,
    kept: Bytes,
    left: Duration,
) -> Response<ReplyBody> {
    let head = copy_head(&answer.head);
    let length = head
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let until = tokio::time::Instant::now() + left;
    let pieces = stream::unfold(
        (Some(kept), answer),
        move |(first, mut answer)| async move {
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (None, answer)));
            }
            let next = tokio::time::timeout_at(until, answer.chunk()).await;
            let piece: Result<_, io::Error> = match next {
                Ok(Ok(Some(chunk))) => Ok(Frame::data(chunk)),
                Ok(Ok(None)) => return None,
                Ok(Err(end)) => Err(cut(format!("{end:?}"))),
                Err(_) => Err(cut("out of time")),
            };
            Some((piece, (None, answer)))
        },
    );
    replica_reply(head, StreamBody::new(pieces).boxed_unsync(), length)
}
