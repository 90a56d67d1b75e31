use {
    super::stats::percentile,
    crate::{
        fleet::{Fleet, FleetPlan},
        standin::PlatformFaults,
    },
    serde::Serialize,
    std::time::{Duration, Instant},
};

/// Number of published changes with an unlimited platform; a quarter of it is published
/// with a limited one.
const CHANGES: usize = 20;

/// Time from publishing a revision until all processes use it, in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct RevisionResult {
    pub processes: usize,
    pub median_ms: f64,
    pub worst_ms: f64,
    pub by_peers_worst_ms: f64, // while the platform serves two calls a second in total
}

/// Publishes changes one after the other and waits until all processes use each.
pub async fn measure_revision(plan: FleetPlan) -> RevisionResult {
    let fleet = Fleet::start(plan).await;
    let mut times = Vec::new();
    for _ in 0..CHANGES {
        times.push(time_change(&fleet).await);
    }
    fleet.platform.set_faults(PlatformFaults {
        calls_per_second: Some(2),
        ..PlatformFaults::default()
    });
    let mut by_peers = Vec::new();
    for _ in 0..CHANGES / 4 {
        by_peers.push(time_change(&fleet).await);
    }
    RevisionResult {
        processes: fleet.operators().len(),
        median_ms: percentile(&times, 0.5),
        worst_ms: percentile(&times, 1.0),
        by_peers_worst_ms: percentile(&by_peers, 1.0),
    }
}

async fn time_change(fleet: &Fleet) -> Duration {
    let started = Instant::now();
    let revision = fleet
        .platform
        .publish_fleet(fleet.plan.config_text().text());
    fleet.wait_for_revision(&fleet.operators(), revision).await;
    started.elapsed()
}
