//! A request that crashes each replica that begins to run it is sent again and again to routers
//! of three zones. Where routers do not hold it back, it keeps reaching replicas (95 times in
//! 24 s), and only 73 % of the harmless requests beside it are served.

use {
    archmast_testbed::soak::{CrashScenario, MAX_LATE_ARRIVALS, crash_run},
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(10);

async fn check_late_arrivals(
    scenario: CrashScenario,
    seed: u64,
) {
    let result = crash_run(scenario, seed, LENGTH).await;
    assert!(result.crashed > 0, "{}", result.summary());
    assert!(
        result.late_arrivals <= MAX_LATE_ARRIVALS,
        "{}",
        result.summary()
    );
    assert!(result.served_share() > 0.0, "{}", result.summary());
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_come_back_under_new_ids_are_spared() {
    check_late_arrivals(CrashScenario::NewIds, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_come_back_under_their_ids_are_spared() {
    check_late_arrivals(CrashScenario::SameIds, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn few_requests_arrive_late_while_routers_are_killed() {
    check_late_arrivals(CrashScenario::RoutersKilled, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_held_back_when_running_replicas_close_connections() {
    let result = crash_run(CrashScenario::CutOff, 1, LENGTH).await;
    assert_eq!(result.held_back(), 0, "{}", result.summary());
}
