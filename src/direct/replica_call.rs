use {
    super::{attempt_end::AttemptEnd, gateway::Gateway, upstream_connection::UpstreamConnection},
    crate::{
        catalog::UpstreamEntry,
        ops::{NOTICES, Uptime},
        policy::ReplicaNotice,
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming},
};

/// Sends a request to a replica and waits for the head of the answer. Whatever is sent
/// there goes this way: what the replica says of itself in the head is kept before anyone
/// sees the answer.
pub async fn call_replica(
    gateway: &Gateway,
    replica: &UpstreamEntry,
    connection: &mut UpstreamConnection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, AttemptEnd> {
    let response = connection.send(request).await?;
    let notice = (gateway.dialect.notice)(response.status(), response.headers());
    hear(gateway, replica, notice);
    Ok(response)
}

fn hear(
    gateway: &Gateway,
    replica: &UpstreamEntry,
    notice: ReplicaNotice,
) {
    if notice.is_empty() {
        return;
    }
    let is_news =
        gateway
            .board()
            .apply_notice(gateway.now(), Uptime::unix_millis(), replica, notice);
    if !is_news {
        return;
    }
    if notice.is_leaving {
        // An answer on a connection that a fellow handed on tells that one nothing.
        gateway.report_wanted.notify_one();
    }
    metrics::counter!(NOTICES, "says" => notice.kind()).increment(1);
    log::info!(
        replica = &*replica.id,
        born = replica.started_unix_ms,
        service = &*replica.service,
        leaves = notice.is_leaving,
        rest_ms = notice.backoff.as_millis() as u64,
        upstreams_at = gateway.catalog.version().upstreams;
        "replica said of itself"
    );
}
