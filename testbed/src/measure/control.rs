use {
    crate::fleet::Fleet,
    archmast::fleet::HostRole,
    serde::Serialize,
    std::{collections::BTreeMap, time::Instant},
};

/// The control bytes that each process had sent at one moment since its start.
pub struct ControlSnapshot {
    taken: Instant,
    bytes: BTreeMap<String, (HostRole, BTreeMap<String, u64>)>, // by host, by kind of message
}

/// Control bytes sent a second, as the mean over the processes of each role.
#[derive(Debug, Clone, Serialize)]
pub struct ControlResult {
    pub router: BTreeMap<String, f64>,  // by kind of message
    pub sidecar: BTreeMap<String, f64>, // by kind of message
    pub router_total: f64,
    pub sidecar_total: f64,
    pub busiest: f64, // the largest of all processes
}

/// Reads the control bytes of all processes that answer.
pub async fn control_snapshot(fleet: &Fleet) -> ControlSnapshot {
    let mut bytes = BTreeMap::new();
    for operator in fleet.operators() {
        if let Some(status) = fleet.status(operator).await {
            bytes.insert(status.host, (status.role, status.control_bytes));
        }
    }
    ControlSnapshot {
        taken: Instant::now(),
        bytes,
    }
}

/// The rates between two snapshots.
pub fn control_since(
    before: &ControlSnapshot,
    after: &ControlSnapshot,
) -> ControlResult {
    let seconds = (after.taken - before.taken).as_secs_f64();
    let mut result = ControlResult {
        router: BTreeMap::new(),
        sidecar: BTreeMap::new(),
        router_total: 0.0,
        sidecar_total: 0.0,
        busiest: 0.0,
    };
    let count = |role| after.bytes.values().filter(|(r, _)| *r == role).count() as f64;
    let (routers, sidecars) = (count(HostRole::Router), count(HostRole::Sidecar));
    for (host, (role, kinds)) in &after.bytes {
        let mut total = 0.0;
        for (kind, bytes) in kinds {
            let earlier = before
                .bytes
                .get(host)
                .and_then(|(_, kinds)| kinds.get(kind))
                .copied()
                .unwrap_or(0);
            let rate = (bytes - earlier) as f64 / seconds;
            total += rate;
            let (by_kind, processes) = match role {
                HostRole::Router => (&mut result.router, routers),
                HostRole::Sidecar => (&mut result.sidecar, sidecars),
            };
            *by_kind.entry(kind.clone()).or_default() += rate / processes;
        }
        match role {
            HostRole::Router => result.router_total += total / routers,
            HostRole::Sidecar => result.sidecar_total += total / sidecars,
        }
        result.busiest = result.busiest.max(total);
    }
    result
}
