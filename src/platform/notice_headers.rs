use {
    crate::policy::{ReplicaNotice, parse_retry_after},
    hyper::{
        StatusCode,
        header::{HeaderMap, RETRY_AFTER},
    },
};

/// The answer header by which a replica announces that it is shutting down.
const LEAVING_HEADER: &str = "server-leaving";

/// Reads what a replica announces about itself in the head of an answer. Status 421 comes from
/// another replica than the addressed one and says nothing about that one.
pub fn read_notice(
    status: StatusCode,
    headers: &HeaderMap,
) -> ReplicaNotice {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ReplicaNotice::default();
    }
    let is_leaving = text(headers, LEAVING_HEADER) == Some("1");
    let is_unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
    let retry_after = text(headers, RETRY_AFTER.as_str()).and_then(parse_retry_after);
    ReplicaNotice::new(is_leaving, retry_after.filter(|_| is_unavailable))
}

fn text<'h>(
    headers: &'h HeaderMap,
    name: &str,
) -> Option<&'h str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}
