use {
    crate::policy::{ReplicaNotice, parse_retry_after},
    hyper::{
        StatusCode,
        header::{HeaderMap, RETRY_AFTER},
    },
};

/// The header by which a replica says in its answers that it leaves.
const LEAVING: &str = "server-leaving";

/// Reads what the head of an answer says of the replica that gave it. One that is not the
/// replica that was asked (421) says nothing of that one.
pub fn read_notice(
    status: StatusCode,
    headers: &HeaderMap,
) -> ReplicaNotice {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ReplicaNotice::default();
    }
    let leaves = text(headers, LEAVING) == Some("1");
    let turns_away = status == StatusCode::SERVICE_UNAVAILABLE;
    let rest = text(headers, RETRY_AFTER.as_str()).and_then(parse_retry_after);
    ReplicaNotice::new(leaves, rest.filter(|_| turns_away))
}

fn text<'h>(
    headers: &'h HeaderMap,
    name: &str,
) -> Option<&'h str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}
