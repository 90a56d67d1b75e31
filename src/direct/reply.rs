use {
    super::gateway::Gateway,
    crate::codes::ErrorAnswer,
    bytes::Bytes,
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    hyper::{
        HeaderMap, Response, StatusCode,
        header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
        http::response::Parts,
    },
    std::{fmt, io},
};

/// The body of an answer to a caller. Its error cuts the connection, so that a
/// cut answer never looks whole.
pub type ReplyBody = UnsyncBoxBody<Bytes, io::Error>;

/// Headers that concern one connection only, beside those that `Connection`
/// names.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Takes out what concerns one connection only.
pub fn drop_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in &named {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(*name);
    }
}

/// A body that is all there.
pub fn whole_body(bytes: Bytes) -> ReplyBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A replica's answer for a caller: its status and headers as they are.
pub fn replica_reply(
    mut head: Parts,
    body: ReplyBody,
    length: Option<usize>,
) -> Response<ReplyBody> {
    drop_connection_headers(&mut head.headers);
    if let Some(length) = length {
        head.headers
            .insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

/// Status and headers of an answer whose body is still to be read.
pub fn copy_head(head: &Parts) -> Parts {
    let mut copy = Response::new(()).into_parts().0;
    copy.status = head.status;
    copy.headers = head.headers.clone();
    copy
}

/// The product's own answer: a numbered error.
pub fn error_reply(
    gateway: &Gateway,
    error: &ErrorAnswer,
    request_id: &str,
) -> Response<ReplyBody> {
    let body = error.to_json(request_id);
    let mut response = Response::new(whole_body(body.into()));
    *response.status_mut() =
        StatusCode::from_u16(error.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(id) = HeaderValue::from_str(request_id) {
        headers.insert(gateway.dialect.names.request_id.clone(), id);
    }
    if let Some(wait) = error.retry_after {
        let seconds = format!("{:.2}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}

/// An error that cuts a body.
pub fn cut(detail: impl fmt::Display) -> io::Error {
    io::Error::other(detail.to_string())
}
