use {
    super::{
        gateway::Gateway,
        replica_query::{model_replicas, send_query},
        upstream_connection::UpstreamConnection,
    },
    crate::{
        catalog::UpstreamEntry,
        codes::{Fault, ResultCode},
        policy::placement::CachedPart,
    },
    futures::{StreamExt, stream},
    std::{collections::HashSet, sync::Arc, time::Duration},
    tokio::time::{Instant, timeout, timeout_at},
};

/// Number of replicas that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 4;

/// Time-out for the answer of one replica.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// The survey ends this long after its first query: replicas listed later are new and have
/// nothing cached, or peers have reported on them by then.
const SURVEY_DURATION: Duration = Duration::from_secs(3);

/// How long a starting router waits for its peers' reports on the caches that they follow:
/// several report intervals.
const PEER_REPORT_WAIT: Duration = Duration::from_millis(300);

/// Queries the prompt caches of the model replicas once when this router starts, as after a
/// restart of all routers none knows their contents. Replicas on which peers report are left
/// out, because a query delays the replica's work.
pub async fn survey_caches(gateway: Arc<Gateway>) {
    let mut changes = gateway.catalog.subscribe();
    let mut queried = HashSet::new();
    let mut deadline = None;
    loop {
        if deadline.is_none() && gateway.catalog.config().is_some() {
            tokio::time::sleep(PEER_REPORT_WAIT).await;
        }
        let due = replicas_to_query(&gateway, &mut queried);
        if !due.is_empty() {
            deadline.get_or_insert_with(|| Instant::now() + SURVEY_DURATION);
            let queries = due.into_iter().map(|entry| survey(&gateway, entry));
            stream::iter(queries)
                .buffer_unordered(MAX_CONCURRENT_QUERIES)
                .collect::<()>()
                .await;
        }
        let changed = match deadline {
            None => changes.changed().await,
            Some(deadline) => match timeout_at(deadline, changes.changed()).await {
                Ok(changed) => changed,
                Err(_) => return,
            },
        };
        if changed.is_err() {
            return;
        }
    }
}

/// The model replicas that were not queried yet, those of the own availability zone first.
fn replicas_to_query(
    gateway: &Gateway,
    queried: &mut HashSet<u32>, // hashes of replica id and start time
) -> Vec<Arc<UpstreamEntry>> {
    let zone = &gateway.settings().process.zone;
    let mut due = model_replicas(gateway);
    let replica_table = gateway.replica_table();
    let now = gateway.now();
    let takes_requests = |entry: &UpstreamEntry| {
        !replica_table.is_cordoned(entry) && replica_table.accepts_requests(now, entry)
    };
    // Reports on replicas of other zones contain only what was evicted.
    let is_reported = |entry: &UpstreamEntry| {
        *entry.zone == **zone && replica_table.is_cache_followed(now, entry)
    };
    due.retain(|entry| {
        takes_requests(entry) && !is_reported(entry) && queried.insert(entry.start_hash())
    });
    drop(replica_table);
    due.sort_by_key(|entry| *entry.zone != **zone);
    due
}

/// Queries one replica and records its cached parts.
async fn survey(
    gateway: &Gateway,
    entry: Arc<UpstreamEntry>,
) {
    let answer = timeout(ANSWER_TIMEOUT, query_parts(gateway, &entry)).await;
    match answer.map_err(Fault::unreachable).flatten() {
        Ok(parts) => {
            log::info!(
                replica = &*entry.id, parts = parts.len();
                "replica asked what it keeps"
            );
            record_cached_parts(gateway, &entry, &parts);
        }
        Err(error) => {
            log::info!(
                replica = &*entry.id, code = error.code.number();
                "replica did not say what it keeps: {error}"
            );
        }
    }
}

fn record_cached_parts(
    gateway: &Gateway,
    entry: &UpstreamEntry,
    parts: &[CachedPart],
) {
    let table = gateway.catalog.config();
    let service = table
        .as_ref()
        .and_then(|table| table.service(&entry.service));
    let Some(engine) = service.and_then(|service| service.engine) else {
        return;
    };
    let memory = engine.kv_capacity_tokens;
    gateway
        .replica_table()
        .apply_cached_parts(entry, parts, memory);
}

/// Queries all cached parts of a replica, on a connection of its own: a surplus answer would arrive
/// where a caller's request waits for one. Fails with `ResultCode::PeerUnreachable` if it was not
/// reached, with `PlatformReply` if it refused or its answer is invalid.
async fn query_parts(
    gateway: &Gateway,
    entry: &UpstreamEntry,
) -> Result<Vec<CachedPart>, Fault> {
    let calls = gateway.dialect.cache;
    let mut connection = UpstreamConnection::open(entry.address, Arc::default())
        .await
        .map_err(Fault::unreachable)?;
    let answer = send_query(gateway, entry, &mut connection, (calls.list_request)()).await?;
    if !answer.status().is_success() {
        return Err(Fault::new(ResultCode::PlatformReply, answer.status()));
    }
    (calls.parse_list)(answer.body())
}
