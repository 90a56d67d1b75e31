use {
    super::Series,
    crate::{
        fleet::{Fleet, FleetPlan, FleetText, nonce},
        load::Backlog,
        measure::{ControlResult, ProcessUsage, control_since, control_snapshot},
        standin::{ChatBody, EngineSettings},
    },
    reqwest::Method,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::task::JoinSet,
};

const WARM_UP: Duration = Duration::from_secs(1);
const LOOK: Duration = Duration::from_secs(5);

/// Plain callers, each with one call of 20 ms at a time.
const PLAIN_CALLERS: [usize; 4] = [1, 2, 4, 8];

/// Streams open at once, each at 100 tokens a second.
const STREAMS: [usize; 4] = [4, 8, 16, 32];

/// Sidecars that are told of ten accounts.
const SIDECARS_TOLD: [usize; 4] = [4, 8, 16, 32];

/// Accounts backlogged.
const BACKLOGGED: [usize; 4] = [5, 10, 20, 40];

/// Processor time for each request and each token.
pub async fn work_series() -> Vec<Series> {
    let mut series = Vec::new();
    let plain = WorkLoad {
        callers: &PLAIN_CALLERS,
        stream: false,
    };
    series.extend(plain.series("requests", "plain calls a second").await);
    let streams = WorkLoad {
        callers: &STREAMS,
        stream: true,
    };
    series.extend(streams.series("tokens", "tokens streamed a second").await);
    series
}

struct WorkLoad {
    callers: &'static [usize],
    stream: bool,
}

impl WorkLoad {
    async fn series(
        &self,
        what: &str,
        per: &str,
    ) -> Vec<Series> {
        let (mut router, mut sidecar) = (Vec::new(), Vec::new());
        for callers in self.callers {
            let (rate, router_share, sidecar_share) = self.point(*callers).await;
            router.push((rate, 100.0 * router_share));
            sidecar.push((rate, 100.0 * sidecar_share));
        }
        let unit = "% of a core";
        vec![
            Series::new(&format!("router_cpu_{what}"), per, unit, &router),
            Series::new(&format!("sidecar_cpu_{what}"), per, unit, &sidecar),
        ]
    }

    /// Events a second, and the core shares of the router and the sidecar.
    async fn point(
        &self,
        callers: usize,
    ) -> (f64, f64, f64) {
        let fleet = Fleet::start(work_plan(self.stream)).await;
        let (stop, done) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let mut tasks = JoinSet::new();
        for _ in 0..callers {
            let caller = fleet.caller(0, "lot-a");
            let (stop, done, stream) = (stop.clone(), done.clone(), self.stream);
            tasks.spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    if stream {
                        let body = ChatBody::new("drafter", "p", &nonce(), 50, true);
                        caller.chat(&body).await;
                    } else {
                        caller.plain(Method::POST, "/gate/x", &nonce(), None).await;
                        done.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
        tokio::time::sleep(WARM_UP).await;
        let (router, sidecar) = (
            fleet.routers[0].process.id(),
            fleet.sidecars[0].process.id(),
        );
        let events = || {
            if self.stream {
                let service = fleet.sidecars[0].upstream.log().service();
                service.values().map(|(tokens, _)| *tokens).sum()
            } else {
                done.load(Ordering::Relaxed)
            }
        };
        let before = (
            events(),
            ProcessUsage::of(router),
            ProcessUsage::of(sidecar),
        );
        tokio::time::sleep(LOOK).await;
        let after = (
            events(),
            ProcessUsage::of(router),
            ProcessUsage::of(sidecar),
        );
        stop.store(true, Ordering::Relaxed);
        tasks.join_all().await;
        (
            (after.0 - before.0) as f64 / LOOK.as_secs_f64(),
            after.1.core_share_since(&before.1),
            after.2.core_share_since(&before.2),
        )
    }
}

fn work_plan(stream: bool) -> FleetPlan {
    let text = FleetText::default()
        .class("chat", "20 s")
        .models("drafting", "drafter")
        .plain("gates", "/gate")
        .account("lot-a", 1.0, "chat", "");
    let plan = FleetPlan::new(text).routers(1);
    if stream {
        let engine = EngineSettings {
            slots: 64,
            token_time: Duration::from_millis(10),
            ..EngineSettings::default()
        };
        plan.engines(1, engine)
    } else {
        plan.plains(1, 64, Duration::from_millis(20))
    }
}

/// Control bytes with more and more accounts backlogged, and with more and more
/// sidecars told of them.
pub async fn backlog_series() -> Vec<Series> {
    let (mut router, mut sidecar) = (Vec::new(), Vec::new());
    for accounts in BACKLOGGED {
        let control = control_of(accounts, 8).await;
        router.push((accounts as f64, control.router_total));
        sidecar.push((accounts as f64, control.sidecar_total));
    }
    let mut by_sidecars = Vec::new();
    for sidecars in SIDECARS_TOLD {
        let control = control_of(10, sidecars).await;
        by_sidecars.push((sidecars as f64, control.router_total));
    }
    let (accounts, unit) = ("accounts backlogged", "B/s of control");
    vec![
        Series::new("router_control_backlog", accounts, unit, &router),
        Series::new("sidecar_control_backlog", accounts, unit, &sidecar),
        Series::new(
            "router_control_sidecars",
            "sidecars told",
            unit,
            &by_sidecars,
        ),
    ]
}

/// Control bytes at two routers with these accounts backlogged on these many
/// upstreams.
async fn control_of(
    accounts: usize,
    sidecars: usize,
) -> ControlResult {
    let mut text = FleetText::default()
        .class("patient", "120 s")
        .models("drafting", "drafter");
    for number in 1..=accounts {
        text = text.account(&format!("a{number}"), 1.0, "patient", "");
    }
    let engine = EngineSettings {
        slots: 4,
        token_time: Duration::from_millis(20),
        ..EngineSettings::default()
    };
    let plan = FleetPlan::new(text).routers(2).engines(sidecars, engine);
    let fleet = Fleet::start(plan).await;
    let load = Backlog {
        shares: (1..=accounts).map(|n| (format!("a{n}"), 1.0)).collect(),
        callers: 6 + 6 * sidecars / accounts,
        spread: vec![2, 1],
        ..Backlog::ten_accounts("drafter")
    };
    let (_, control) = tokio::join!(load.run(&fleet, WARM_UP, LOOK, |_| {}), async {
        tokio::time::sleep(WARM_UP).await;
        let before = control_snapshot(&fleet).await;
        tokio::time::sleep(LOOK).await;
        control_since(&before, &control_snapshot(&fleet).await)
    });
    control
}
