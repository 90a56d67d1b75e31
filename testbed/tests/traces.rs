//! Recorded traces, replayed and compared with their stated outcomes.

use {
    archmast_testbed::{
        fleet::{Deployment, Fleet, association, parking},
        load::{COLUMNS, TraceError, make_trace, read_trace, replay},
        soak::Lateness,
    },
    serde::Deserialize,
};

/// Expected outcome of a trace, from the file beside it.
#[derive(Deserialize)]
struct StatedOutcome {
    requests: u64,
    wrong: u64,
    cut_or_unknown: u64,
    ran_twice: u64,
}

async fn check(
    deployment: Deployment,
    stated: &str,
) {
    let stated: StatedOutcome = serde_json::from_str(stated).expect("stated outcomes");
    let rows = read_trace(deployment.trace).expect("a trace");
    assert_eq!(rows.len() as u64, stated.requests);
    let fleet = Fleet::start(deployment.plan.clone()).await;
    let lateness = Lateness::start();
    let result = replay(&fleet, &deployment, &rows, |_| {}).await;
    // The proxies between the processes run here: while they stand still, connections fall silent.
    let harness = format!("harness late by {} ms", lateness.end().as_millis());
    let sum = |count: fn(&archmast_testbed::load::ClassResult) -> u64| {
        result.classes.values().map(count).sum::<u64>()
    };
    assert_eq!(sum(|class| class.requests), stated.requests);
    assert_eq!(sum(|class| class.wrong), stated.wrong);
    assert_eq!(sum(|class| class.other), stated.cut_or_unknown, "{harness}");
    assert_eq!(result.doubled, stated.ran_twice);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_parking_trace_ends_as_stated() {
    check(parking(), include_str!("../traces/parking.stated.json")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_association_trace_ends_as_stated() {
    check(
        association(),
        include_str!("../traces/association.stated.json"),
    )
    .await;
}

#[test]
fn a_trace_of_the_published_layout_is_read_and_a_broken_line_is_named() {
    let text = format!(
        "{COLUMNS}\n2023-11-16 18:15:46.6805900,374,44,lot-yvr,draft\n\
         2023-11-16 18:15:50.9951690,396,109,lot-yvr,draft\n"
    );
    let rows = read_trace(&text).expect("a trace");
    assert_eq!(rows[1].generated_tokens, 109);
    assert!((rows[1].at.as_secs_f64() - 4.314_579).abs() < 1e-6);
    let broken = format!("{text}2023-11-16 18:15:50.9951690,396,many,lot-yvr,draft\n");
    assert_eq!(read_trace(&broken), Err(TraceError(4)));
}

#[test]
fn the_committed_traces_equal_those_made_from_their_sources() {
    for deployment in [parking(), association()] {
        let made = make_trace(deployment.sources, 8.0, deployment.seed);
        assert!(made == deployment.trace, "{}", deployment.name);
    }
}
