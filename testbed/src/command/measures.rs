use {
    super::main::number,
    crate::{
        fleet::{Fleet, association, parking},
        load::Backlog,
        measure::{
            control_since, control_snapshot, measure_ahead, measure_latency, measure_prefix,
            measure_revision, measure_zone_loss,
        },
    },
    getopts::Matches,
    serde::Serialize,
    std::time::Duration,
};

/// Added latency over a direct call.
pub async fn latency() {
    print(&measure_latency().await);
}

/// Utilisation with and without requests granted ahead.
pub async fn ahead(matches: &Matches) {
    for bound in [0, 1, 8] {
        print(&measure_ahead(bound, number(matches, "seconds", 5)).await);
    }
}

/// Prefix cache hits with and without affinity.
pub async fn prefix(matches: &Matches) {
    for slack in ["0 ms", "200 ms", "1 s"] {
        print(&measure_prefix(slack, number(matches, "seconds", 10)).await);
    }
}

/// Time until a revision is in force everywhere.
pub async fn revision() {
    print(&measure_revision(parking().plan).await);
    print(&measure_revision(association().plan).await);
}

/// What the death of an availability zone does.
pub async fn zone_loss(matches: &Matches) {
    let accounts = ["member-1", "member-2", "member-6", "member-7"];
    let seconds = number(matches, "seconds", 5);
    print(&measure_zone_loss(association().plan, &accounts, "digester", seconds).await);
}

/// Control bytes by kind, idle and backlogged.
pub async fn control(matches: &Matches) {
    let seconds = Duration::from_secs(number(matches, "seconds", 10));
    let fleet = Fleet::start(super::fairness::fairness_plan("full")).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = control_snapshot(&fleet).await;
    tokio::time::sleep(seconds).await;
    let idle = control_snapshot(&fleet).await;
    println!("idle");
    print(&control_since(&before, &idle));
    let load = Backlog::ten_accounts("drafter");
    let start = control_snapshot(&fleet).await;
    let (load, end) = tokio::join!(load.run(&fleet, Duration::ZERO, seconds, |_| {}), async {
        tokio::time::sleep(seconds).await;
        control_snapshot(&fleet).await
    });
    println!("backlogged, utilisation {:.3}", load.utilisation);
    print(&control_since(&start, &end));
}

fn print<T: Serialize>(result: &T) {
    println!("{}", serde_json::to_string(result).unwrap_or_default());
}
