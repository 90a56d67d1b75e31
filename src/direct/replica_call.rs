use {
    super::{attempt_end::AttemptEnd, gateway::Gateway, upstream_connection::UpstreamConnection},
    crate::{
        catalog::{UpstreamEntry, counter_of},
        ops::{REPLICA_NOTICES, Uptime},
        policy::ReplicaNotice,
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming},
};

/// Sends a request to a replica and waits for the head of the answer. All requests to
/// replicas go through here, so that a replica's notice about itself is recorded before the
/// answer is used.
pub async fn call_replica(
    gateway: &Gateway,
    replica: &UpstreamEntry,
    connection: &mut UpstreamConnection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, AttemptEnd> {
    let response = connection.send(request).await?;
    let notice = (gateway.dialect.parse_notice)(response.status(), response.headers());
    apply_notice(gateway, replica, notice);
    Ok(response)
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
