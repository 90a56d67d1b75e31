use super::{Slopes, size::*};

/// One bound beside what is expected at the design size.
pub struct Row {
    pub role: &'static str,
    pub what: &'static str,
    pub expected: f64,
    pub bound: f64,
    pub unit: &'static str,
    pub mechanism: &'static str,
}

/// Every bound of letter 1, with what the slopes lead to expect.
pub fn bounds(slopes: &Slopes) -> Vec<Row> {
    let at = |name: &str, x: f64| slopes.get(name).at(x);
    // Accounts add to what eight sidecars cost; sidecars beyond these add theirs.
    let control = |sidecars: f64| {
        let by_accounts = at("router_control_backlog", accounts_at_router());
        by_accounts + slopes.get("router_control_sidecars").slope * (sidecars - 8.0)
    };
    let accounts = |name: &str| slopes.get(name).slope * ACCOUNTS;
    vec![
        Row {
            role: "router, mesh",
            what: "idle connections to 600 sidecars",
            expected: at("router_cpu_peers", SIDECARS),
            bound: CPU_BOUND,
            unit: "% of a core",
            mechanism: "QUIC keep-alive",
        },
        Row {
            role: "router, mesh",
            what: "idle connections to 600 sidecars",
            expected: at("router_bytes_peers", SIDECARS),
            bound: BYTES_BOUND,
            unit: "B/s",
            mechanism: "QUIC keep-alive",
        },
        Row {
            role: "router, mesh",
            what: "connections and 40,000 accounts",
            expected: at("router_memory_peers", SIDECARS) + accounts("router_memory_accounts"),
            bound: MEMORY_BOUND,
            unit: "MB",
            mechanism: "parsed configuration, its text, connections",
        },
        Row {
            role: "router, mesh",
            what: "demand and totals, 600 sidecars told",
            expected: control(SIDECARS),
            bound: BYTES_BOUND,
            unit: "B/s",
            mechanism: "demand by change, within a budget; a reply to each report",
        },
        Row {
            role: "router, reach 32",
            what: "idle connections to 32 sidecars",
            expected: at("router_cpu_peers", REACH),
            bound: CPU_BOUND,
            unit: "% of a core",
            mechanism: "reach; needs the keepers' mesh gone",
        },
        Row {
            role: "router, reach 32",
            what: "idle connections to 32 sidecars",
            expected: at("router_bytes_peers", REACH),
            bound: BYTES_BOUND,
            unit: "B/s",
            mechanism: "reach; needs the keepers' mesh gone",
        },
        Row {
            role: "router, reach 32",
            what: "demand and totals, 32 sidecars told",
            expected: control(REACH),
            bound: BYTES_BOUND,
            unit: "B/s",
            mechanism: "the same; reach",
        },
        Row {
            role: "sidecar, mesh",
            what: "idle connections to 360 routers",
            expected: at("sidecar_cpu_peers", ROUTERS),
            bound: CPU_BOUND,
            unit: "% of a core",
            mechanism: "QUIC keep-alive",
        },
        Row {
            role: "sidecar, mesh",
            what: "idle connections to 360 routers",
            expected: at("sidecar_bytes_peers", ROUTERS),
            bound: BYTES_BOUND,
            unit: "B/s",
            mechanism: "QUIC keep-alive",
        },
        Row {
            role: "sidecar, mesh",
            what: "connections and 40,000 accounts",
            expected: at("sidecar_memory_peers", ROUTERS) + accounts("sidecar_memory_accounts"),
            bound: MEMORY_BOUND,
            unit: "MB",
            mechanism: "parsed configuration, its text, connections",
        },
        Row {
            role: "sidecar",
            what: "reports and grants, 64 accounts a second",
            expected: at("sidecar_control_backlog", REPORTED),
            bound: BYTES_BOUND,
            unit: "B/s",
            mechanism: "reports go round the accounts, 64 at a time",
        },
        Row {
            role: "sidecar, reach 32",
            what: "idle connections to its routers",
            expected: at("sidecar_bytes_peers", routers_in_reach()),
            bound: BYTES_BOUND,
            unit: "B/s",
            mechanism: "reach; needs the keepers' mesh gone",
        },
        Row {
            role: "all",
            what: "40,000 accounts in force at three processes",
            expected: at("config_in_force", ACCOUNTS) / 1_000.0,
            bound: IN_FORCE_BOUND,
            unit: "s",
            mechanism: "parts, watches, peers",
        },
        Row {
            role: "all",
            what: "watches of 960 processes, renewed each 15 s (counted)",
            expected: 2.0 * (ROUTERS + SIDECARS) / 15.0,
            bound: PLATFORM_BOUND,
            unit: "calls/s",
            mechanism: "long polls",
        },
    ]
}
