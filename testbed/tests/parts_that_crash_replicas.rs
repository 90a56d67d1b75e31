//! A part of prompts crashes each replica that begins to answer on it. No two requests with it
//! are equal, they come to routers of three zones, and harmless requests of the same account share
//! their other parts. Where routers keep the evidence by whole requests, some 90 of such requests
//! reach replicas after the fifth crash in 26 s, and each crashes one.

use {
    archmast_testbed::soak::{
        CrashRunResult, CrashScenario, MAX_LATE_ARRIVALS, MIN_SERVED_SHARE, crash_run,
    },
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(20);

/// Runs a scenario, and checks that harmless requests are served, and with whole answers.
async fn run(
    scenario: CrashScenario,
    seed: u64,
) -> CrashRunResult {
    let result = crash_run(scenario, seed, LENGTH).await;
    assert_eq!(result.truncated(), 0, "{}", result.summary());
    assert!(
        result.late_served_share() >= MIN_SERVED_SHARE,
        "{}",
        result.summary()
    );
    result
}

/// Runs a scenario, and checks as well that few requests with the part arrive late.
async fn check_late_arrivals(
    scenario: CrashScenario,
    seed: u64,
) {
    let result = run(scenario, seed).await;
    assert!(result.crashed > 0, "{}", result.summary());
    assert!(
        result.late_arrivals <= MAX_LATE_ARRIVALS,
        "{}",
        result.summary()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_part_that_crashes_replicas_are_held_back_and_others_with_its_neighbours_are_served()
 {
    check_late_arrivals(CrashScenario::PartBetween, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_first_part_that_crashes_replicas_is_held_back() {
    check_late_arrivals(CrashScenario::PartFirst, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn few_requests_with_the_part_arrive_late_while_routers_are_killed() {
    check_late_arrivals(CrashScenario::PartRoutersKilled, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_came_with_the_fatal_one_is_served_once_it_comes_alone() {
    check_late_arrivals(CrashScenario::PartWithCompanion, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_was_answered_before_is_held_back_once_it_crashes_replicas() {
    check_late_arrivals(CrashScenario::PartTurnsFatal, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_held_back_where_replicas_crash_by_themselves() {
    let result = run(CrashScenario::CrashesAlone, 1).await;
    assert!(result.crashed > 0, "{}", result.summary());
    assert_eq!(result.held_back(), 0, "{}", result.summary());
}
