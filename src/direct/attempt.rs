//! Sends one request to one replica and checks the head of the answer.

use {
    super::{
        attempt_end::AttemptEnd, call::Call, gateway::Gateway, in_flight_guard::InFlightGuard,
        live_answer::LiveAnswer, replica_call::call_replica, request_reader::header_text,
        start_check::check_slow_start,
    },
    crate::{
        callers::RequestBodyReader, catalog::UpstreamEntry, codes::ResultCode,
        policy::parse_retry_after,
    },
    hyper::{
        Request,
        header::{CONTENT_ENCODING, HeaderValue, RETRY_AFTER},
        http::response::Parts,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// The replica chosen for an attempt, and the guard that counts the request in its load.
pub struct AttemptTarget {
    pub entry: Arc<UpstreamEntry>,
    pub fetch_from: Option<SocketAddr>, // a replica that has more of the prompt cached
    pub queue_wait: Duration,           // estimated wait behind earlier requests
    pub in_flight: InFlightGuard,
}

/// Sends a call to a replica and waits for the head of the answer. Uses a connection that was
/// idle for at most `max_idle`, or a new one; always a new one for a call without an id, as only
/// the id tells its answer from surplus answers to earlier requests. A resumed stream continues
/// after the event with id `last_event`. `written_at` is set to the uptime in milliseconds when the
/// request is written.
pub async fn send_call(
    gateway: &Arc<Gateway>,
    call: &Call,
    target: AttemptTarget,
    max_idle: Duration,
    last_event: Option<&str>,
    written_at: &AtomicU64,
) -> Result<LiveAnswer, AttemptEnd> {
    let max_open = (call.max_connections / gateway.router_count()).max(1);
    let max_idle = match call.request_id.is_empty() {
        true => Duration::ZERO,
        false => max_idle,
    };
    let mut connection = gateway.pool.take(&target.entry, max_open, max_idle).await?;
    check_slow_start(gateway, &target.entry, &mut connection).await?;
    if !target.in_flight.may_be_sent(&target.entry) {
        gateway.pool.give_back(&target.entry.id, connection);
        return Err(AttemptEnd::Withheld);
    }
    let request = build_request(gateway, call, &target, last_event)?;
    written_at.store(gateway.now().as_millis() as u64, Ordering::Relaxed);
    let response = call_replica(gateway, &target.entry, &mut connection, request).await?;
    let (head, body) = response.into_parts();
    check_answer_head(gateway, call, &head)?;
    Ok(LiveAnswer::new(
        gateway.clone(),
        target.entry,
        head,
        body,
        connection,
        target.in_flight,
    ))
}

fn build_request(
    gateway: &Gateway,
    call: &Call,
    target: &AttemptTarget,
    last_event: Option<&str>,
) -> Result<Request<RequestBodyReader>, AttemptEnd> {
    let names = &gateway.dialect.names;
    let not_sent = |error: &dyn std::fmt::Display| AttemptEnd::NotSent {
        detail: error.to_string(),
    };
    let mut request = Request::new(call.body.reader());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    let time_left = call.time_left(gateway.now()).as_millis() as u64;
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(time_left));
    let id = HeaderValue::from_str(&target.entry.id).map_err(|error| not_sent(&error))?;
    headers.insert(names.expected_replica.clone(), id);
    if let Some(source) = target.fetch_from {
        let value = HeaderValue::from_str(&source.to_string()).map_err(|error| not_sent(&error))?;
        headers.insert(names.fetch_from.clone(), value);
    }
    if let Some(event) = last_event {
        let value = HeaderValue::from_str(event).map_err(|error| not_sent(&error))?;
        headers.insert(names.last_event.clone(), value);
    }
    Ok(request)
}

/// Rejects refusals, statuses that callers would misread, and successes without proof that they
/// are this replica's own.
fn check_answer_head(
    gateway: &Gateway,
    call: &Call,
    head: &Parts,
) -> Result<(), AttemptEnd> {
    let names = &gateway.dialect.names;
    if head.headers.contains_key(&names.not_run) || head.status == 421 {
        return Err(AttemptEnd::Refused {
            status: head.status.as_u16(),
            retry_after: parse_retry_after(header_text(&head.headers, &RETRY_AFTER)),
        });
    }
    if (gateway.dialect.promises_not_run)(head.status) {
        // Callers would take this status as a guarantee that the request did not run, which
        // the replica did not give.
        return Err(AttemptEnd::Failed {
            status: head.status.as_u16(),
        });
    }
    let is_proven = head.headers.contains_key(&names.signature)
        && !head.headers.contains_key(CONTENT_ENCODING)
        && header_text(&head.headers, &names.request_id) == call.request_id;
    if head.status.is_success() && !is_proven {
        return Err(AttemptEnd::Unknown {
            code: ResultCode::AnswerUnproved,
            detail: "missing signature or request id, or encoded body".to_owned(),
        });
    }
    Ok(())
}
