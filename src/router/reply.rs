//! Answers to callers.

use {
    super::{
        answer_body::{PartialAnswer, TruncationSignal},
        guarded_body::GuardedBody,
        request_flow::Answer,
        router::OpenRequest,
    },
    crate::{
        callers::{ReplyBody, full_body},
        codes::ErrorAnswer,
        ops::REQUESTS,
    },
    bytes::Bytes,
    futures::{TryStreamExt, stream},
    http_body_util::{BodyExt, StreamBody},
    hyper::{
        HeaderMap, Response, StatusCode,
        body::Frame,
        header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
    },
};

/// The header that identifies a request at every hop.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Headers of an upstream's answer that are not forwarded: they belong to one connection,
/// or the router sets them itself.
const UNFORWARDED_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "date",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

/// An upstream's answer for a caller.
pub fn answer_reply(
    answer: Answer,
    is_chat: bool,
    is_head_request: bool,
    open_request: OpenRequest,
) -> Response<ReplyBody> {
    let status = StatusCode::from_u16(answer.head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut headers = HeaderMap::new();
    for (name, value) in &answer.head.headers {
        let is_unforwarded = UNFORWARDED_HEADERS.contains(&name.to_ascii_lowercase().as_str());
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (false, Ok(name), Ok(value)) = (is_unforwarded, name, value) {
            headers.append(name, value);
        }
    }
    insert_text(&mut headers, REQUEST_ID_HEADER, open_request.request_id());
    let body = match answer.unread {
        None => {
            // The length that such an answer declares is the one of a body that is not sent.
            let has_no_body = is_head_request || status == StatusCode::NOT_MODIFIED;
            let body = match (has_no_body, answer.head.declared_length()) {
                (true, Some(length)) => {
                    headers.insert(CONTENT_LENGTH, length.into());
                    absent_body()
                }
                (true, None) => full_body(Bytes::new()),
                (false, _) => full_body(answer.buffered.concat().into()),
            };
            GuardedBody::new(body, open_request).boxed_unsync()
        }
        Some(reader) => {
            let signal = match answer.head.declared_length() {
                Some(length) if !answer.head.is_event_stream() => {
                    headers.insert(CONTENT_LENGTH, length.into());
                    TruncationSignal::ContentLength
                }
                _ if is_chat => TruncationSignal::ChatEvent,
                _ => TruncationSignal::NamedEvent,
            };
            let mut partial = PartialAnswer::new(answer.buffered, reader, signal, open_request);
            if answer.head.is_event_stream() && !answer.head.is_encoded() {
                partial = partial.split_events();
            }
            StreamBody::new(partial.into_stream().map_ok(Frame::data)).boxed_unsync()
        }
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// An error for a caller, counted and logged.
pub fn error_reply(
    error: &ErrorAnswer,
    request_id: &str,
) -> Response<ReplyBody> {
    let code = error.code.number();
    metrics::counter!(
        REQUESTS,
        "code" => code.to_string(),
        "ran" => error.ran.to_string()
    )
    .increment(1);
    log::info!(
        code = code,
        ran = error.ran.to_string().as_str(),
        request_id = request_id;
        "request refused: {}", error.code.meaning()
    );
    let mut response = json_reply(error.status(), error.to_json(request_id));
    insert_text(response.headers_mut(), REQUEST_ID_HEADER, request_id);
    if let Some(wait) = error.retry_after {
        let seconds = wait.as_secs_f64().ceil() as u64;
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

/// An answer of the router's own.
pub fn json_reply(
    status: u16,
    body: String,
) -> Response<ReplyBody> {
    let mut response = Response::new(full_body(body.into()));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// The body of an answer that declares the length of one that is not sent. It states no size of its
/// own, which would have to be the declared one.
fn absent_body() -> ReplyBody {
    StreamBody::new(stream::empty()).boxed_unsync()
}

fn insert_text(
    headers: &mut HeaderMap,
    name: HeaderName,
    text: &str,
) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
