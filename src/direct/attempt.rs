//! One request sent to one replica, up to the head of its answer.

use {
    super::{
        attempt_end::AttemptEnd, call::Call, gateway::Gateway, held_work::HeldWork,
        live_answer::LiveAnswer, replica_call::call_replica, request_reader::header_text,
    },
    crate::{catalog::UpstreamEntry, codes::ResultCode, policy::parse_retry_after},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request,
        header::{CONTENT_ENCODING, HeaderValue, RETRY_AFTER},
        http::response::Parts,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The replica chosen for an attempt, with the request counted there.
pub struct Target {
    pub entry: Arc<UpstreamEntry>,
    pub fetch_from: Option<SocketAddr>, // a replica that keeps more of the prompt
    pub waits: Duration,                // for what is believed to be in front of it
    pub work: HeldWork,
}

/// Sends a call to a replica and waits for the head of the answer. A stream
/// that goes on begins after `last_event`.
pub async fn send_call(
    gateway: &Arc<Gateway>,
    call: &Call,
    target: Target,
    last_event: Option<&str>,
) -> Result<LiveAnswer, AttemptEnd> {
    let most = (call.max_connections / gateway.router_count()).max(1);
    let mut connection = gateway.pool.take(&target.entry, most).await?;
    if !target.work.may_be_sent(&target.entry) {
        gateway.pool.give_back(&target.entry.id, connection);
        return Err(AttemptEnd::Withheld);
    }
    let request = build(gateway, call, &target, last_event)?;
    let response = call_replica(gateway, &target.entry, &mut connection, request).await?;
    let (head, body) = response.into_parts();
    check(gateway, call, &head)?;
    Ok(LiveAnswer::new(
        gateway.clone(),
        head,
        body,
        connection,
        target.work,
    ))
}

fn build(
    gateway: &Gateway,
    call: &Call,
    target: &Target,
    last_event: Option<&str>,
) -> Result<Request<Full<Bytes>>, AttemptEnd> {
    let names = &gateway.dialect.names;
    let unsent = |error: &dyn std::fmt::Display| AttemptEnd::NotSent {
        detail: error.to_string(),
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    let left = call.time_left(gateway.now()).as_millis() as u64;
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left));
    let id = HeaderValue::from_str(&target.entry.id).map_err(|error| unsent(&error))?;
    headers.insert(names.expected_replica.clone(), id);
    if let Some(source) = target.fetch_from {
        let value = HeaderValue::from_str(&source.to_string()).map_err(|error| unsent(&error))?;
        headers.insert(names.fetch_from.clone(), value);
    }
    if let Some(event) = last_event {
        let value = HeaderValue::from_str(event).map_err(|error| unsent(&error))?;
        headers.insert(names.last_event.clone(), value);
    }
    Ok(request)
}

/// Refuses an answer that is not the replica's answer to this request.
fn check(
    gateway: &Gateway,
    call: &Call,
    head: &Parts,
) -> Result<(), AttemptEnd> {
    let names = &gateway.dialect.names;
    let echoed = header_text(&head.headers, &names.request_id);
    let unknown = |code, detail: String| AttemptEnd::Unknown { code, detail };
    if !call.request_id.is_empty() && echoed != call.request_id && !echoed.is_empty() {
        let detail = format!("answer to {echoed}");
        return Err(unknown(ResultCode::AnswerMismatch, detail));
    }
    if head.headers.contains_key(&names.not_run) || head.status == 421 {
        return Err(AttemptEnd::Refused {
            status: head.status.as_u16(),
            retry_after: parse_retry_after(header_text(&head.headers, &RETRY_AFTER)),
        });
    }
    if (gateway.dialect.promises_not_run)(head.status) {
        // It may have run: passed on, the status would be a promise that nobody gave.
        return Err(AttemptEnd::Failed {
            status: head.status.as_u16(),
        });
    }
    let proved = head.headers.contains_key(&names.signature)
        && !head.headers.contains_key(CONTENT_ENCODING)
        && (echoed == call.request_id);
    if head.status.is_success() && !proved {
        return Err(unknown(
            ResultCode::AnswerUnproved,
            "no signature, no id or an encoding".to_owned(),
        ));
    }
    Ok(())
}
