use {
    super::{
        cache_json::CACHE_CALLS, health_headers::read_slow_start, notice_headers::read_notice,
        prompt_headers::prompt_shape,
    },
    crate::direct::{Dialect, HeaderNames},
    hyper::{StatusCode, header::HeaderName},
};

/// Headers that only the router sets. They are removed from callers' requests.
const SYSTEM_HEADERS: &[&str] = &[
    "archmast-credential",
    "archmast-expected-replica",
    "archmast-expected-version",
    "archmast-hold",
    "archmast-kv-backup",
    "archmast-pin-ms",
    "archmast-tenant",
    "kv-fetch",
    "kv-from",
];

/// The platform's header names, and the functions that parse its headers and calls.
pub fn dialect() -> Dialect {
    let name = HeaderName::from_static;
    Dialect {
        names: HeaderNames {
            request_id: name("archmast-attempt-id"),
            deadline_ms: name("archmast-deadline-ms"),
            account_key: name("archmast-credential"),
            account: name("archmast-tenant"),
            expected_replica: name("archmast-expected-replica"),
            not_run: name("archmast-not-executed"),
            signature: name("archmast-replica-signature"),
            last_event: name("last-event-id"),
            resumes: name("resumes"),
            fetch_from: name("kv-fetch"),
            reserved: SYSTEM_HEADERS.iter().map(|text| name(text)).collect(),
        },
        parse_prompt: prompt_shape,
        promises_not_run,
        parse_notice: read_notice,
        parse_slow_start: read_slow_start,
        cache: CACHE_CALLS,
    }
}

/// Whether a status tells a caller that its request did not run and never will. A replica's
/// answer with such a status does not guarantee that.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
