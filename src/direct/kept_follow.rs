//! Following what replicas keep, by their own word.

use {
    super::{
        cache_ask::{ask_on, prompt_replicas},
        gateway::Gateway,
        upstream_connection::UpstreamConnection,
    },
    crate::{
        catalog::UpstreamEntry,
        codes::{Fault, ResultCode},
        ops::{KEPT_CALLS, KEPT_EVENTS, KEPT_FOLLOWED},
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

/// How often it is looked which replicas to follow.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// How long a replica may hold a call until there are events.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// How much longer an answer may take.
const ANSWER_TIME: Duration = Duration::from_millis(700);

/// Between two calls, so that events come together.
const CALL_PAUSE: Duration = Duration::from_millis(200);

/// After a call that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// After an answer that says that the replica tells nothing, or nothing more.
const REFUSED_PAUSE: Duration = Duration::from_secs(30);

/// Follows the model replicas of the own availability zone for which this router is drawn,
/// for as long as the process lives.
pub async fn follow_kept(gateway: Arc<Gateway>) {
    let mut followed: HashMap<u32, JoinHandle<()>> = HashMap::new();
    loop {
        followed.retain(|_, task| !task.is_finished());
        if gateway.settings().follow_kept {
            let due = prompt_replicas(&gateway).into_iter();
            for entry in due.filter(|entry| is_due(&gateway, entry)) {
                if let Entry::Vacant(place) = followed.entry(entry.start_hash()) {
                    place.insert(tokio::spawn(follow(gateway.clone(), entry)));
                }
            }
        }
        metrics::gauge!(KEPT_FOLLOWED).set(followed.len() as f64);
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

fn is_due(
    gateway: &Gateway,
    entry: &UpstreamEntry,
) -> bool {
    let settings = gateway.settings();
    settings.follow_kept
        && *entry.zone == *settings.process.zone
        && !gateway.is_stopping()
        && gateway.board().should_follow_cache(gateway.now(), entry)
}

/// Follows one start of a replica until another router is drawn for it, or it is to be left
/// alone.
async fn follow(
    gateway: Arc<Gateway>,
    entry: Arc<UpstreamEntry>,
) {
    log::info!(replica = &*entry.id; "following what a replica keeps");
    let mut connection = None;
    while is_due(&gateway, &entry) {
        let pause = match ask(&gateway, &entry, &mut connection).await {
            Ok(news) => {
                metrics::counter!(KEPT_CALLS, "outcome" => "answered").increment(1);
                let change = gateway
                    .board()
                    .apply_cache_events(gateway.now(), &entry, &news);
                if let Some(change) = change {
                    note(&entry, &change);
                }
                CALL_PAUSE
            }
            Err(error) => {
                metrics::counter!(KEPT_CALLS, "outcome" => "failed").increment(1);
                log::info!(
                    replica = &*entry.id, code = error.code.number();
                    "replica does not say what it keeps: {error}"
                );
                match error.code {
                    ResultCode::PlatformReply => REFUSED_PAUSE,
                    _ => RETRY_PAUSE,
                }
            }
        };
        tokio::time::sleep(pause).await;
    }
}

fn note(
    entry: &UpstreamEntry,
    change: &CacheChange,
) {
    let kinds = [
        ("heard", change.unseen),
        ("taken", change.added),
        ("given_up", change.evicted),
    ];
    for (kind, count) in kinds {
        metrics::counter!(KEPT_EVENTS, "kind" => kind).increment(count as u64);
    }
    let news = &change.batch;
    if news.has_gap || change.was_reset || change.added + change.evicted > 0 {
        log::debug!(
            replica = &*entry.id,
            epoch = news.epoch,
            from = news.from,
            next = news.next,
            has_gap = news.has_gap,
            is_anew = change.was_reset,
            heard = change.unseen,
            taken = change.added,
            given_up = change.evicted;
            "replica said what it keeps"
        );
    }
}

/// Asks once: code 82 where the replica refuses, 74 where it was not reached.
async fn ask(
    gateway: &Gateway,
    entry: &UpstreamEntry,
    kept: &mut Option<UpstreamConnection>,
) -> Result<CacheEventBatch, Fault> {
    let answer = timeout(LONGEST_WAIT + ANSWER_TIME, call(gateway, entry, kept)).await;
    answer.map_err(Fault::unreachable).flatten()
}

/// The connection is not of the pool: a call that is held would take the place of requests.
async fn call(
    gateway: &Gateway,
    entry: &UpstreamEntry,
    kept: &mut Option<UpstreamConnection>,
) -> Result<CacheEventBatch, Fault> {
    let calls = gateway.dialect.cache;
    let next = gateway.board().cache_cursor(entry).next;
    let mut connection = match kept.take().filter(UpstreamConnection::is_usable) {
        Some(connection) => connection,
        None => {
            let opened = UpstreamConnection::open(entry.address, Arc::default()).await;
            opened.map_err(Fault::unreachable)?
        }
    };
    let request = (calls.events)(next, LONGEST_WAIT);
    let (status, body) = ask_on(gateway, entry, &mut connection, request).await?;
    if connection.may_be_kept() {
        connection.rest();
        *kept = Some(connection);
    }
    match status {
        StatusCode::OK => (calls.read_events)(next, &body),
        StatusCode::SERVICE_UNAVAILABLE => Err(Fault::unreachable(status)),
        status => Err(Fault::new(ResultCode::PlatformReply, status)),
    }
}
