use {
    crate::fleet::{Fleet, FleetPlan, FleetText, nonce},
    reqwest::Method,
    serde::Serialize,
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::task::JoinSet,
};

/// Utilisation with a number of requests that a sidecar grants ahead of free slots.
#[derive(Debug, Clone, Serialize)]
pub struct AheadResult {
    pub ahead: u32,
    pub utilisation: f64, // busy slot time divided by slot time, while requests wait
    pub calls_per_second: f64,
    pub declined_grants: f64, // bytes of declining messages divided by bytes of grants
}

/// Measures plain calls of 20 ms that all arrive at one router, with a delay of 1 ms in
/// each direction between routers and sidecars.
pub async fn measure_ahead(
    ahead: u32,
    seconds: u64,
) -> AheadResult {
    let text = FleetText::default()
        .class("chat", "60 s")
        .plain("gates", "/gate")
        .account("lot-a", 1.0, "chat", "");
    let plan = FleetPlan::new(text)
        .routers(2)
        .plains(3, 4, Duration::from_millis(20))
        .one_way_delay(Duration::from_millis(1))
        .set_sidecar("upstream.ahead", &ahead.to_string());
    let fleet = Fleet::start(plan).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for _ in 0..60 {
        let (caller, stop) = (fleet.caller(0, "lot-a"), stop.clone());
        callers.spawn(async move {
            let mut calls = 0u64;
            while !stop.load(Ordering::Relaxed) {
                let outcome = caller
                    .plain(Method::POST, "/gate/open", &nonce(), None)
                    .await;
                calls += u64::from(outcome.is_complete());
            }
            calls
        });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = usage(&fleet).await;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = usage(&fleet).await;
    stop.store(true, Ordering::Relaxed);
    let calls: u64 = callers.join_all().await.into_iter().sum();
    let bytes = |kind: &str| after.bytes.get(kind).copied().unwrap_or(0) as f64;
    AheadResult {
        ahead,
        utilisation: (after.busy - before.busy) as f64 / (after.time - before.time) as f64,
        calls_per_second: calls as f64 / (seconds as f64 + 1.0),
        declined_grants: bytes("declines") / bytes("grants").max(1.0),
    }
}

struct Usage {
    busy: u64,                    // busy slot milliseconds while requests waited
    time: u64,                    // all slot milliseconds while requests waited
    bytes: BTreeMap<String, u64>, // control bytes sent, by kind of message
}

async fn usage(fleet: &Fleet) -> Usage {
    let mut usage = Usage {
        busy: 0,
        time: 0,
        bytes: BTreeMap::new(),
    };
    for operator in fleet.operators() {
        let Some(status) = fleet.status(operator).await else {
            continue;
        };
        usage.busy += status.contended_busy_slot_ms;
        usage.time += status.contended_ms * u64::from(status.slots);
        for (kind, bytes) in status.control_bytes {
            *usage.bytes.entry(kind).or_default() += bytes;
        }
    }
    usage
}
