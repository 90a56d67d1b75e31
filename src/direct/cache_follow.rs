//! Follows the prompt caches of replicas by the events that they report.

use {
    super::{
        gateway::Gateway,
        replica_query::{model_replicas, send_query},
        upstream_connection::UpstreamConnection,
    },
    crate::{
        catalog::UpstreamEntry,
        codes::{Fault, ResultCode},
        ops::{CACHE_EVENTS, CACHE_FOLLOW_CALLS, FOLLOWED_CACHES},
        policy::placement::{CacheChange, CacheEventBatch},
    },
    hyper::StatusCode,
    std::{
        collections::{HashMap, hash_map::Entry},
        sync::Arc,
        time::Duration,
    },
    tokio::{task::JoinHandle, time::timeout},
};

/// How often the replicas to follow are selected again.
const SELECTION_INTERVAL: Duration = Duration::from_millis(500);

/// How long a replica may hold a request until there are events.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Additional time for the answer to arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay between two requests, so that one answer covers several events.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after a request that failed.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Delay after a replica refused to report events.
const REFUSED_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Follows the model replicas of the own availability zone that are assigned to this router,
/// until the task is dropped.
pub async fn follow_caches(gateway: Arc<Gateway>) {
    let mut followed: HashMap<u32, JoinHandle<()>> = HashMap::new();
    loop {
        followed.retain(|_, task| !task.is_finished());
        if gateway.settings().follow_caches {
            let replicas = model_replicas(&gateway).into_iter();
            for entry in replicas.filter(|entry| should_follow(&gateway, entry)) {
                if let Entry::Vacant(vacant) = followed.entry(entry.start_hash()) {
                    vacant.insert(tokio::spawn(follow(gateway.clone(), entry)));
                }
            }
        }
        metrics::gauge!(FOLLOWED_CACHES).set(followed.len() as f64);
        tokio::time::sleep(SELECTION_INTERVAL).await;
    }
}

fn should_follow(
    gateway: &Gateway,
    entry: &UpstreamEntry,
) -> bool {
    let settings = gateway.settings();
    settings.follow_caches
        && *entry.zone == *settings.process.zone
        && !gateway.is_stopping()
        && gateway
            .replica_table()
            .should_follow_cache(gateway.now(), entry)
}

/// Follows a replica until it restarts, is assigned to another router, or takes no more
/// requests.
async fn follow(
    gateway: Arc<Gateway>,
    entry: Arc<UpstreamEntry>,
) {
    log::info!(replica = &*entry.id; "following what a replica keeps");
    let mut connection = None;
    while should_follow(&gateway, &entry) {
        let delay = match poll_events(&gateway, &entry, &mut connection).await {
            Ok(batch) => {
                metrics::counter!(CACHE_FOLLOW_CALLS, "outcome" => "answered").increment(1);
                let change =
                    gateway
                        .replica_table()
                        .apply_cache_events(gateway.now(), &entry, &batch);
                if let Some(change) = change {
                    record_change(&entry, &change);
                }
                POLL_INTERVAL
            }
            Err(error) => {
                metrics::counter!(CACHE_FOLLOW_CALLS, "outcome" => "failed").increment(1);
                log::info!(
                    replica = &*entry.id, code = error.code.number();
                    "replica does not say what it keeps: {error}"
                );
                match error.code {
                    ResultCode::PlatformReply => REFUSED_RETRY_DELAY,
                    _ => RETRY_DELAY,
                }
            }
        };
        tokio::time::sleep(delay).await;
    }
}

/// Counts and logs the events of one answer.
fn record_change(
    entry: &UpstreamEntry,
    change: &CacheChange,
) {
    let kinds = [
        ("heard", change.unseen),
        ("taken", change.added),
        ("given_up", change.evicted),
    ];
    for (kind, count) in kinds {
        metrics::counter!(CACHE_EVENTS, "kind" => kind).increment(count as u64);
    }
    let batch = &change.batch;
    if batch.has_gap || change.was_reset || change.added + change.evicted > 0 {
        log::debug!(
            replica = &*entry.id,
            epoch = batch.epoch,
            from = batch.from,
            next = batch.next,
            has_gap = batch.has_gap,
            is_anew = change.was_reset,
            heard = change.unseen,
            taken = change.added,
            given_up = change.evicted;
            "replica said what it keeps"
        );
    }
}

/// Requests events once. Fails with `ResultCode::PeerUnreachable` if the replica was not reached,
/// with `PlatformReply` if it refused or its answer is invalid.
async fn poll_events(
    gateway: &Gateway,
    entry: &UpstreamEntry,
    idle: &mut Option<UpstreamConnection>,
) -> Result<CacheEventBatch, Fault> {
    let answer = timeout(
        LONG_POLL_TIMEOUT + ANSWER_TIMEOUT,
        request_events(gateway, entry, idle),
    )
    .await;
    answer.map_err(Fault::unreachable).flatten()
}

/// Uses a connection outside of the pool, as a held request would take the place of callers'
/// requests.
async fn request_events(
    gateway: &Gateway,
    entry: &UpstreamEntry,
    idle: &mut Option<UpstreamConnection>,
) -> Result<CacheEventBatch, Fault> {
    let calls = gateway.dialect.cache;
    let next = gateway.replica_table().cache_cursor(entry).next;
    let is_free = |kept: &UpstreamConnection| kept.is_usable() && kept.is_quiet();
    let mut connection = match idle.take().filter(is_free) {
        Some(connection) => connection,
        None => {
            let opened = UpstreamConnection::open(entry.address, Arc::default()).await;
            opened.map_err(Fault::unreachable)?
        }
    };
    let request = (calls.events_request)(next, LONG_POLL_TIMEOUT);
    let answer = send_query(gateway, entry, &mut connection, request).await?;
    if connection.is_reusable() {
        connection.mark_idle();
        *idle = Some(connection);
    }
    match answer.status() {
        StatusCode::OK => (calls.parse_events)(next, answer.body()),
        status @ StatusCode::SERVICE_UNAVAILABLE => Err(Fault::unreachable(status)),
        status => Err(Fault::new(ResultCode::PlatformReply, status)),
    }
}
