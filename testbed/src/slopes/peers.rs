use {
    super::Series,
    crate::{
        fleet::{Fleet, FleetPlan, FleetText, until_async},
        measure::ProcessUsage,
        standin::EngineSettings,
    },
    std::time::Duration,
};

/// Time for a fleet that has just started to come to rest.
const SETTLE: Duration = Duration::from_secs(2);

/// How long an idle process is looked at.
const LOOK: Duration = Duration::from_secs(5);

/// Peers connected, for each point.
const PEERS: [usize; 4] = [4, 8, 16, 32];

fn plan(
    routers: usize,
    sidecars: usize,
) -> FleetPlan {
    let text = FleetText::default()
        .class("chat", "20 s")
        .models("drafting", "drafter")
        .account("lot-a", 1.0, "chat", "");
    FleetPlan::new(text)
        .routers(routers)
        .engines(sidecars, EngineSettings::default())
}

/// What idle connections cost a router and a sidecar, and what it costs a
/// router when sidecars restart.
pub async fn peer_series() -> Vec<Series> {
    let mut router = Points::default();
    let mut sidecar = Points::default();
    let mut restarts = Vec::new();
    for peers in PEERS {
        let mut fleet = Fleet::start(plan(1, peers)).await;
        router.look(&fleet, true, peers).await;
        restarts.push((peers as f64, restart_all(&mut fleet).await));
        drop(fleet);
        let fleet = Fleet::start(plan(peers, 1)).await;
        sidecar.look(&fleet, false, peers).await;
    }
    let mut series = router.series("router", "sidecars connected");
    series.extend(sidecar.series("sidecar", "routers connected"));
    series.push(Series::new(
        "router_cpu_restarts",
        "sidecars restarted at once",
        "ms of processor time",
        &restarts,
    ));
    series
}

#[derive(Default)]
struct Points {
    cpu: Vec<(f64, f64)>,
    bytes: Vec<(f64, f64)>,
    memory: Vec<(f64, f64)>,
}

impl Points {
    async fn look(
        &mut self,
        fleet: &Fleet,
        router: bool,
        peers: usize,
    ) {
        let (id, operator) = if router {
            (fleet.routers[0].process.id(), fleet.routers[0].operator)
        } else {
            (fleet.sidecars[0].process.id(), fleet.sidecars[0].operator)
        };
        tokio::time::sleep(SETTLE).await;
        let bytes = async || fleet.status(operator).await.map_or(0, |s| s.link_bytes);
        let (bytes_before, before) = (bytes().await, ProcessUsage::of(id));
        tokio::time::sleep(LOOK).await;
        let (after, bytes_after) = (ProcessUsage::of(id), bytes().await);
        let x = peers as f64;
        self.cpu.push((x, 100.0 * after.core_share_since(&before)));
        let rate = (bytes_after - bytes_before) as f64 / LOOK.as_secs_f64();
        self.bytes.push((x, rate));
        self.memory.push((x, after.resident_mb));
    }

    fn series(
        &self,
        role: &str,
        per: &str,
    ) -> Vec<Series> {
        let name = |what: &str| format!("{role}_{what}_peers");
        vec![
            Series::new(&name("cpu"), per, "% of a core, idle", &self.cpu),
            Series::new(&name("bytes"), per, "B/s sent, idle", &self.bytes),
            Series::new(&name("memory"), per, "MB resident", &self.memory),
        ]
    }
}

/// Kills and restarts every sidecar. Gives the router's processor time from
/// then until all are connected again, in milliseconds.
async fn restart_all(fleet: &mut Fleet) -> f64 {
    let id = fleet.routers[0].process.id();
    let before = ProcessUsage::of(id);
    for sidecar in &mut fleet.sidecars {
        sidecar.process.kill();
        sidecar.process.restart().expect("it starts");
    }
    let operator = fleet.routers[0].operator;
    let wanted = fleet.sidecars.len();
    until_async("all are known anew", async || {
        let trail = fleet.audit(operator).await;
        let anew = trail.iter().filter(|e| e.what == "peer_restarted").count();
        anew >= wanted
    })
    .await;
    1_000.0 * ProcessUsage::of(id).cpu_since(&before)
}
