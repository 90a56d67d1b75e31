//! Queries of this router's own to replicas: about their prompt caches, and health checks.

use {
    super::{
        gateway::Gateway, replica_call::call_replica, upstream_connection::UpstreamConnection,
    },
    crate::{callers::RequestBodyReader, catalog::UpstreamEntry, codes::Fault},
    bytes::Bytes,
    http_body_util::{BodyExt, Limited},
    hyper::{
        Request, Response,
        header::{HOST, HeaderValue},
    },
    std::sync::Arc,
};

/// Limit for the size of an answer.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The replicas of services that run a model engine, which caches parts of prompts.
pub fn model_replicas(gateway: &Gateway) -> Vec<Arc<UpstreamEntry>> {
    let Some(table) = gateway.catalog.config() else {
        return Vec::new();
    };
    let mut replicas = gateway.catalog.upstreams();
    replicas.retain(|entry| {
        let service = table.service(&entry.service);
        service.is_some_and(|service| service.engine.is_some())
    });
    replicas
}

/// Sends a query on a connection and reads the whole answer, up to `MAX_ANSWER_BYTES`. Fails with
/// `ResultCode::PeerUnreachable`.
pub async fn send_query(
    gateway: &Gateway,
    entry: &UpstreamEntry,
    connection: &mut UpstreamConnection,
    mut request: Request<RequestBodyReader>,
) -> Result<Response<Bytes>, Fault> {
    let host = HeaderValue::from_str(&entry.address.to_string()).map_err(Fault::unreachable)?;
    request.headers_mut().insert(HOST, host);
    let response = call_replica(gateway, entry, connection, request)
        .await
        .map_err(|end| Fault::unreachable(format!("{end:?}")))?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(Fault::unreachable)?;
    Ok(Response::from_parts(head, body.to_bytes()))
}
