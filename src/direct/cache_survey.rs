use {
    super::{
        cache_ask::{ask_on, prompt_replicas},
        gateway::Gateway,
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

/// Replicas that are asked at the same time.
const AT_ONCE: usize = 4;

/// How long one answer may take.
const ANSWER_TIME: Duration = Duration::from_millis(700);

/// Replicas that are listed later than this after the first ones are new, or
/// peers have told of them by then.
const SURVEY_TIME: Duration = Duration::from_secs(3);

/// A router that starts among others waits so long for those that follow replicas to tell
/// it what these keep: some of their reports.
const TOLD_TIME: Duration = Duration::from_millis(300);

/// Asks the model replicas what they keep of prompts, once, when this router starts, but
/// for those that other routers follow and tell of. After a loss of all routers there are
/// none that know. It holds the replicas' work up.
pub async fn survey_caches(gateway: Arc<Gateway>) {
    let mut changes = gateway.catalog.subscribe();
    let mut asked = HashSet::new();
    let mut until = None;
    loop {
        if until.is_none() && gateway.catalog.config().is_some() {
            tokio::time::sleep(TOLD_TIME).await;
        }
        let due = due(&gateway, &mut asked);
        if !due.is_empty() {
            until.get_or_insert_with(|| Instant::now() + SURVEY_TIME);
            let asking = due.into_iter().map(|entry| survey(&gateway, entry));
            stream::iter(asking)
                .buffer_unordered(AT_ONCE)
                .collect::<()>()
                .await;
        }
        let changed = match until {
            None => changes.changed().await,
            Some(until) => match timeout_at(until, changes.changed()).await {
                Ok(changed) => changed,
                Err(_) => return,
            },
        };
        if changed.is_err() {
            return;
        }
    }
}

/// The model replicas not asked yet, those of the own availability zone first.
fn due(
    gateway: &Gateway,
    asked: &mut HashSet<u32>, // starts of replicas, by short name
) -> Vec<Arc<UpstreamEntry>> {
    let zone = &gateway.settings().process.zone;
    let mut due = prompt_replicas(gateway);
    let board = gateway.board();
    let now = gateway.now();
    let is_open =
        |entry: &UpstreamEntry| !board.is_cordoned(entry) && board.accepts_requests(now, entry);
    // Of other zones' replicas it is told only what they gave up.
    let is_told =
        |entry: &UpstreamEntry| *entry.zone == **zone && board.is_cache_followed(now, entry);
    due.retain(|entry| is_open(entry) && !is_told(entry) && asked.insert(entry.start_hash()));
    drop(board);
    due.sort_by_key(|entry| *entry.zone != **zone);
    due
}

async fn survey(
    gateway: &Gateway,
    entry: Arc<UpstreamEntry>,
) {
    let answer = timeout(ANSWER_TIME, ask(gateway, &entry)).await;
    match answer.map_err(Fault::unreachable).flatten() {
        Ok(parts) => {
            log::info!(
                replica = &*entry.id, parts = parts.len();
                "replica asked what it keeps"
            );
            learn(gateway, &entry, &parts);
        }
        Err(error) => {
            log::info!(
                replica = &*entry.id, code = error.code.number();
                "replica did not say what it keeps: {error}"
            );
        }
    }
}

fn learn(
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
    gateway.board().apply_cached_parts(entry, parts, memory);
}

async fn ask(
    gateway: &Gateway,
    entry: &UpstreamEntry,
) -> Result<Vec<CachedPart>, Fault> {
    let calls = gateway.dialect.cache;
    let mut connection = gateway
        .pool
        .take(entry, AT_ONCE)
        .await
        .map_err(|end| Fault::unreachable(format!("{end:?}")))?;
    let (status, body) = ask_on(gateway, entry, &mut connection, (calls.list)()).await?;
    gateway.pool.give_back(&entry.id, connection);
    if !status.is_success() {
        return Err(Fault::new(ResultCode::PlatformReply, status));
    }
    (calls.read_list)(&body)
}
