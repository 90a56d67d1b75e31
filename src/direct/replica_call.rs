use {
    super::{
        attempt_end::AttemptEnd, gateway::Gateway, request_reader::header_text,
        upstream_connection::UpstreamConnection,
    },
    crate::{
        callers::RequestBodyReader,
        catalog::{UpstreamEntry, counter_of},
        codes::ResultCode,
        ops::{REPLICA_NOTICES, Uptime},
        policy::ReplicaNotice,
    },
    hyper::{Request, Response, body::Incoming},
};

/// How much of an unexpected request id is logged.
const MAX_SHOWN_ID_BYTES: usize = 64;

/// Sends a request to a replica and waits for the head of the answer. All requests to
/// replicas go through here, so that no answer to another request is used, and a replica's notice
/// about itself is recorded before its answer is used. Fails with `ResultCode::AnswerMismatch` or
/// `AnswerUnproved` if the answer is not shown to be the one to this request.
pub async fn call_replica(
    gateway: &Gateway,
    replica: &UpstreamEntry,
    connection: &mut UpstreamConnection,
    request: Request<RequestBodyReader>,
) -> Result<Response<Incoming>, AttemptEnd> {
    let id_header = &gateway.dialect.names.request_id;
    let request_id = header_text(request.headers(), id_header).to_owned();
    let is_first = connection.is_unused();
    let response = connection.send(request).await?;
    check_request_id(
        &request_id,
        header_text(response.headers(), id_header),
        is_first,
    )?;
    let notice = (gateway.dialect.parse_notice)(response.status(), response.headers());
    apply_notice(gateway, replica, notice);
    Ok(response)
}

/// Checks that an answer echoes the id of the request, or none if the request has none. On a
/// connection that carried other requests, an answer without an id may be a surplus one to any of
/// them; on a new one there is nothing else that it could answer.
fn check_request_id(
    request_id: &str,
    echoed: &str,
    is_first: bool, // on its connection
) -> Result<(), AttemptEnd> {
    if echoed == request_id || (echoed.is_empty() && is_first) {
        return Ok(());
    }
    let (code, detail) = match echoed {
        "" => (
            ResultCode::AnswerUnproved,
            "answer without a request id on a kept connection".to_owned(),
        ),
        other => {
            let shown = &other[..other.len().min(MAX_SHOWN_ID_BYTES)];
            (ResultCode::AnswerMismatch, format!("answer to {shown}"))
        }
    };
    Err(AttemptEnd::Unknown { code, detail })
}

fn apply_notice(
    gateway: &Gateway,
    replica: &UpstreamEntry,
    notice: ReplicaNotice,
) {
    if notice.is_empty() {
        return;
    }
    let is_new =
        gateway
            .replica_table()
            .apply_notice(gateway.now(), Uptime::unix_millis(), replica, notice);
    if !is_new {
        return;
    }
    if notice.is_leaving {
        // Reported to other routers at once: one that forwarded the caller's connection here
        // relays the answer without reading it.
        gateway.early_report.notify_one();
    }
    metrics::counter!(REPLICA_NOTICES, "says" => notice.kind()).increment(1);
    log::info!(
        replica = &*replica.id,
        born = replica.started_unix_ms,
        service = &*replica.service,
        leaves = notice.is_leaving,
        rest_ms = notice.backoff.as_millis() as u64,
        upstreams_at = counter_of(gateway.catalog.version().upstreams);
        "replica said of itself"
    );
}
