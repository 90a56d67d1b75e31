use {
    super::gateway::Gateway,
    crate::{
        callers::{ReplyBody, full_body},
        codes::ErrorAnswer,
    },
    hyper::{
        HeaderMap, Response, StatusCode,
        header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
        http::response::Parts,
    },
    std::{fmt, io},
};

/// Headers that apply to one connection only, besides those named in `Connection`.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the headers that apply to one connection only.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
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
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(*name);
    }
}

/// A replica's answer for a caller, with status and headers as the replica sent them, but for
/// hop-by-hop headers. `length` sets the content length.
pub fn replica_reply(
    mut head: Parts,
    body: ReplyBody,
    length: Option<usize>,
) -> Response<ReplyBody> {
    remove_hop_by_hop_headers(&mut head.headers);
    if let Some(length) = length {
        head.headers
            .insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

/// A copy of the status and headers of an answer whose body is still being read.
pub fn copy_head(head: &Parts) -> Parts {
    let mut copy = Response::new(()).into_parts().0;
    copy.status = head.status;
    copy.headers = head.headers.clone();
    copy
}

/// The router's own error answer, with the result code as JSON.
pub fn error_reply(
    gateway: &Gateway,
    error: &ErrorAnswer,
    request_id: &str,
) -> Response<ReplyBody> {
    let body = error.to_json(request_id);
    let mut response = Response::new(full_body(body.into()));
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

/// An error that ends a body early and closes its connection.
pub fn cut_error(detail: impl fmt::Display) -> io::Error {
    io::Error::other(detail.to_string())
}
