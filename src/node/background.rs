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

/// How often a starting process looks whether it may serve.
const READINESS_TICK: Duration = Duration::from_millis(20);

/// Starts to follow the platform's service, and dials the seeds.
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

/// Decides when a starting process has asked enough peers for a newer
/// configuration. `peers` is the role it hears from.
pub async fn follow_readiness(
    node: Arc<Node>,
    peers: HostRole,
    bound: Duration,
) {
    let mut first_config = None;
    loop {
        tokio::time::sleep(READINESS_TICK).await;
        if node.config.current().is_none() {
            continue;
        }
        let since = *first_config.get_or_insert(node.now());
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

/// Waits for a signal to stop.
pub async fn stop_signal() {
    let (Ok(mut term), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::error!("signals cannot be had");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}
