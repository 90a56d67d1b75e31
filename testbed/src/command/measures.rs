use {
    super::main::number,
    crate::{
        fleet::{Fleet, association, parking},
        load::Backlog,
        measure::{
            FleetScale, control_since, control_snapshot, measure_ahead, measure_latency,
            measure_prefix, measure_revision, measure_zone_loss, request_costs, step_costs,
        },
    },
    getopts::Matches,
    serde::Serialize,
    std::time::Duration,
};

/// Prints the latency that a fleet adds to a call.
pub async fn latency() {
    print_json(&measure_latency().await);
}

/// The fleet sizes for which steps are measured: small, large, three times as large, and
/// the largest size that archmast is designed for.
const FLEETS: [FleetScale; 4] = [
    fleet_scale(20, 32, 60),
    fleet_scale(100, 160, 60),
    fleet_scale(300, 480, 60),
    fleet_scale(360, 600, 4000),
];

const fn fleet_scale(
    routers: usize,
    replicas: usize,
    accounts: u32,
) -> FleetScale {
    FleetScale {
        routers,
        replicas,
        accounts,
    }
}

/// Prints the time of single steps of a router by fleet size, and its processor time per
/// request.
pub async fn costs(matches: &Matches) {
    println!(
        "routers replicas accounts | us: choice share status report encoding report decoding | bytes"
    );
    for scale in FLEETS {
        let costs = step_costs(scale);
        println!(
            "{:7} {:8} {:8} | {:10.1} {:12.1} {:15.1} {:15.1} | {:5}",
            scale.routers,
            scale.replicas,
            scale.accounts,
            costs.choice,
            costs.share_status,
            costs.report_encoding,
            costs.report_decoding,
            costs.report_bytes,
        );
    }
    let requests = number(matches, "requests", 4000) as usize;
    let costs = request_costs(requests).await;
    println!("processor time of a router, including the kernel's, in us per request:");
    println!(
        "streamed {:.0}, plain {:.0}, refused {:.0}",
        costs.streamed, costs.plain, costs.refused
    );
}

/// Prints the utilisation with and without requests granted ahead of free slots.
pub async fn ahead(matches: &Matches) {
    for ahead in [0, 1, 8] {
        print_json(&measure_ahead(ahead, number(matches, "seconds", 5)).await);
    }
}

/// Prints the prefix cache hits with and without affinity of prompts to upstreams.
pub async fn prefix(matches: &Matches) {
    for slack in ["0 ms", "200 ms", "1 s"] {
        print_json(&measure_prefix(slack, number(matches, "seconds", 10)).await);
    }
}

/// Prints the time from publishing a configuration until all processes use it.
pub async fn revision() {
    print_json(&measure_revision(parking().plan).await);
    print_json(&measure_revision(association().plan).await);
}

/// Prints the outcomes of requests while one availability zone fails.
pub async fn zone_loss(matches: &Matches) {
    let accounts = ["member-1", "member-2", "member-6", "member-7"];
    let seconds = number(matches, "seconds", 5);
    print_json(&measure_zone_loss(association().plan, &accounts, "digester", seconds).await);
}

/// Prints the control bytes a second by kind of message, with an idle fleet and with
/// backlogged accounts.
pub async fn control(matches: &Matches) {
    let seconds = Duration::from_secs(number(matches, "seconds", 10));
    let fleet = Fleet::start(super::fairness::fairness_plan("full")).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = control_snapshot(&fleet).await;
    tokio::time::sleep(seconds).await;
    let idle = control_snapshot(&fleet).await;
    println!("idle");
    print_json(&control_since(&before, &idle));
    let load = Backlog::ten_accounts("drafter");
    let start = control_snapshot(&fleet).await;
    let (load, end) = tokio::join!(load.run(&fleet, Duration::ZERO, seconds, |_| {}), async {
        tokio::time::sleep(seconds).await;
        control_snapshot(&fleet).await
    });
    println!("backlogged, utilisation {:.3}", load.utilisation);
    print_json(&control_since(&start, &end));
}

fn print_json<T: Serialize>(result: &T) {
    println!("{}", serde_json::to_string(result).unwrap_or_default());
}
