use {
    super::Node,
    crate::{
        catalog::WatchPacing,
        codes::{Fault, ResultCode},
        conf::PlatformSettings,
        directory::{FLEET_KEY, HOSTS_KEY, PlatformClient, WatchedValue},
        fleet::{HostList, Revision, VersionedConfig, sha256_hex},
        policy::Verdict,
    },
    std::{collections::BTreeMap, sync::Arc},
    tokio::time::{Instant, sleep},
};

/// Watches the platform's configuration and brings each new one into force. Never returns.
pub async fn watch_config(
    node: Arc<Node>,
    client: PlatformClient,
    settings: PlatformSettings,
) {
    let mut seen = Revision(0);
    let mut failed = false;
    loop {
        let started_at = Instant::now();
        let timing = settings.pacing.next_watch(failed);
        let outcome = match client.watch(FLEET_KEY, seen, timing).await {
            Ok(Some(watched)) => {
                let outcome = apply_config(&node, &client, &watched).await;
                if outcome.is_ok() {
                    seen = watched.revision;
                }
                outcome
            }
            Ok(None) => Ok(()),
            Err(error) => Err(error),
        };
        failed = pause_if_failed(outcome, FLEET_KEY, &settings.pacing, started_at).await;
    }
}

/// Watches the platform's host list. Never returns.
pub async fn watch_hosts(
    node: Arc<Node>,
    client: PlatformClient,
    settings: PlatformSettings,
) {
    let mut seen = Revision(0);
    let mut failed = false;
    loop {
        let started_at = Instant::now();
        let timing = settings.pacing.next_watch(failed);
        let outcome = match client.watch(HOSTS_KEY, seen, timing).await {
            Ok(Some(watched)) => {
                seen = watched.revision;
                apply_hosts(&node, &watched)
            }
            Ok(None) => Ok(()),
            Err(error) => Err(error),
        };
        failed = pause_if_failed(outcome, HOSTS_KEY, &settings.pacing, started_at).await;
    }
}

async fn apply_config(
    node: &Node,
    client: &PlatformClient,
    watched: &WatchedValue,
) -> Result<(), Fault> {
    let digest = sha256_hex(watched.text.as_bytes());
    let parts = match node.config.judge(watched.revision, &digest) {
        Verdict::Fetch => fetch_parts(node, client, &watched.text).await?,
        _ => BTreeMap::new(),
    };
    let root = watched.text.as_str().into();
    node.config
        .offer(watched.revision, root, parts, "platform")
        .await;
    Ok(())
}

async fn fetch_parts(
    node: &Node,
    client: &PlatformClient,
    root: &str,
) -> Result<BTreeMap<String, Arc<str>>, Fault> {
    let held = node.config.held_parts();
    let mut parts = BTreeMap::new();
    for digest in VersionedConfig::needed_parts(root).unwrap_or_default() {
        let text = match held.get(&digest) {
            Some(text) => Some(text.clone()),
            None => client.part(&digest).await?.map(Arc::from),
        };
        if let Some(text) = text {
            parts.insert(digest, text);
        }
    }
    Ok(parts)
}

fn apply_hosts(
    node: &Node,
    watched: &WatchedValue,
) -> Result<(), Fault> {
    let hosts: HostList = serde_json::from_str(&watched.text)
        .map_err(|error| Fault::new(ResultCode::PlatformReply, error))?;
    let listed = hosts.hosts.len();
    if node.hosts.offer(watched.revision, hosts) {
        let detail = format!("host list {} with {listed} hosts", watched.revision);
        node.audit.record("hosts_accepted", None, None, detail);
    }
    Ok(())
}

/// Logs a failed call and waits before the next one. Returns whether the call failed.
async fn pause_if_failed(
    outcome: Result<(), Fault>,
    key: &str,
    pacing: &WatchPacing,
    started_at: Instant,
) -> bool {
    let Err(error) = outcome else {
        return false;
    };
    let call_time = started_at.elapsed();
    log::warn!(
        code = error.code.number(), key = key, call_ms = call_time.as_millis() as u64;
        "watch failed: {error}"
    );
    sleep(pacing.pause_after_failure(call_time, rand::random())).await;
    true
}
