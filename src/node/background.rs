use {
    super::{Node, watch_config, watch_hosts},
    crate::{
        codes::Fault,
        conf::PlatformSettings,
        directory::PlatformClient,
        fleet::HostRole,
        link::{DialSet, LinkHandler},
    },
    std::{sync::Arc, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

/// Interval between two readiness checks of a starting process.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Starts the watches of the platform's configuration and host list, and dials the seeds. Fails
/// with `ResultCode::StartFailed` (93) if the HTTP client cannot be built.
pub fn start_watches<H: LinkHandler>(
    node: &Arc<Node>,
    settings: &PlatformSettings,
    dials: &DialSet<H>,
) -> Result<(), Fault> {
    let client = PlatformClient::new(settings.address)?;
    for seed in &settings.seeds {
        dials.add(seed.clone());
    }
    tokio::spawn(watch_config(node.clone(), client.clone(), settings.clone()));
    tokio::spawn(watch_hosts(node.clone(), client, settings.clone()));
    Ok(())
}

/// Waits until a starting process may serve: enough peers with the role `peers` have confirmed its
/// configuration, or `bound` has passed since the first configuration came into force.
pub async fn confirm_readiness(
    node: Arc<Node>,
    peers: HostRole,
    bound: Duration,
) {
    let mut first_config_at = None;
    loop {
        tokio::time::sleep(READINESS_CHECK_INTERVAL).await;
        if node.config.current().is_none() {
            continue;
        }
        let since = *first_config_at.get_or_insert(node.now());
        let listed = node.hosts.current().live(peers).count();
        let waited = node.now().saturating_sub(since);
        let may_decide = node.hosts.revision().0 > 0 || waited >= bound;
        if may_decide && node.readiness.decide(listed, waited, bound) {
            node.audit.record(
                "ready",
                None,
                None,
                format!("after {} ms", node.now().as_millis()),
            );
            return;
        }
    }
}

/// Waits for SIGTERM or SIGINT. Never returns if the handlers cannot be installed.
pub async fn stop_signal() {
    let (Ok(mut term), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::error!("cannot install signal handlers; the process stops only when it is killed");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}
