//! Checks whether a replica is in slow start where the list of replicas cannot be relied on: while
//! the store does not answer, a replica may have restarted without this router knowing.

use {
    super::{
        attempt_end::AttemptEnd, gateway::Gateway, replica_query::send_query,
        upstream_connection::UpstreamConnection,
    },
    crate::{
        callers::RequestBodyReader,
        catalog::{UpstreamEntry, counter_of},
        codes::{Fault, ResultCode},
    },
    hyper::{Request, StatusCode},
    std::time::Duration,
    tokio::time::timeout,
};

/// Time-out for a replica's answer to the health check. Requests wait for it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Makes sure, before a request is sent on `connection`, that what is known of the replica's slow
/// start applies to the process that is connected. A replica of the own zone is asked; one of
/// another zone, or that does not say, counts as in slow start. Fails with `Withheld` if the
/// connection was lost with the check.
pub async fn check_slow_start(
    gateway: &Gateway,
    entry: &UpstreamEntry,
    connection: &mut UpstreamConnection,
) -> Result<(), AttemptEnd> {
    if !gateway.pool.is_unverified(&entry.id) {
        return Ok(());
    }
    let has_slow_start = gateway.replica_table().has_slow_start(&entry.service);
    if !has_slow_start || gateway.is_list_confirmed() {
        gateway.pool.set_verified(&entry.id);
        return Ok(());
    }
    let is_near = *entry.zone == *gateway.settings().process.zone;
    let path = health_path(gateway, entry).filter(|_| is_near);
    let asked = path.is_some();
    let remaining = match path {
        Some(path) => ask(gateway, entry, connection, &path).await,
        None => None,
    };
    let now = gateway.now();
    let mut replica_table = gateway.replica_table();
    match remaining {
        Some(remaining) => replica_table.set_slow_start(now, entry, remaining),
        None => replica_table.assume_slow_start(now, entry),
    }
    drop(replica_table);
    gateway.pool.set_verified(&entry.id);
    log::info!(
        replica = &*entry.id, asked = asked,
        slow_ms = remaining.map(|remaining| remaining.as_millis() as u64),
        upstreams_at = counter_of(gateway.catalog.version().upstreams);
        "replica reached again while the store does not answer"
    );
    match remaining.is_none() && asked {
        true => Err(AttemptEnd::Withheld),
        false => Ok(()),
    }
}

fn health_path(
    gateway: &Gateway,
    entry: &UpstreamEntry,
) -> Option<String> {
    let table = gateway.catalog.config()?;
    table.service(&entry.service)?.health_path.clone()
}

/// Asks a replica how long its slow start still takes. `None` if it does not say.
async fn ask(
    gateway: &Gateway,
    entry: &UpstreamEntry,
    connection: &mut UpstreamConnection,
    path: &str,
) -> Option<Duration> {
    let answer = timeout(
        ANSWER_TIMEOUT,
        check_health(gateway, entry, connection, path),
    )
    .await;
    let answer = answer.map_err(Fault::unreachable).flatten();
    answer
        .inspect_err(|error| {
            log::info!(
                replica = &*entry.id, code = error.code.number();
                "health check failed: {error}"
            );
        })
        .ok()
}

async fn check_health(
    gateway: &Gateway,
    entry: &UpstreamEntry,
    connection: &mut UpstreamConnection,
    path: &str,
) -> Result<Duration, Fault> {
    let mut request = Request::new(RequestBodyReader::default());
    *request.uri_mut() = path.parse().map_err(Fault::unreachable)?;
    let answer = send_query(gateway, entry, connection, request).await?;
    if answer.status() != StatusCode::OK {
        return Err(Fault::new(ResultCode::PlatformReply, answer.status()));
    }
    Ok((gateway.dialect.parse_slow_start)(answer.headers()))
}
