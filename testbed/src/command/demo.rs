use {
    crate::{
        fleet::{Deployment, Fleet, association, parking},
        load::{make_trace, read_trace, replay},
        measure::measure_latency,
        report::{DemoReport, DemoRun},
    },
    getopts::Matches,
    indicatif::{ProgressBar, ProgressStyle},
    std::fs,
};

/// Length of generated traces, in seconds.
const TRACE_SECONDS: f64 = 8.0;

/// Replays a deployment's trace with sidecars granting requests in fair order and, as the
/// baseline, in order of arrival. Prints both results side by side.
pub async fn demo(matches: &Matches) {
    let deployment = selected_deployment(matches);
    println!("measuring added latency on an idle fleet");
    let latency = measure_latency().await;
    let mut runs = Vec::new();
    for order in ["fair", "arrival"] {
        let result = replay_with(&deployment, order).await;
        runs.push(DemoRun { order, result });
    }
    let report = DemoReport {
        deployment: deployment.name,
        latency,
        runs,
    };
    println!("\n{}", report.text());
    if let Some(file) = matches.opt_str("html") {
        fs::write(&file, report.html()).expect("the page can be written");
        println!("plots are in {file}");
    }
}

/// Regenerates the trace files of both deployments. Must be run in the repository's root.
pub fn traces() {
    for deployment in [parking(), association()] {
        let text = make_trace(deployment.sources, TRACE_SECONDS, deployment.seed);
        let file = format!("testbed/traces/{}.csv", deployment.name);
        fs::write(file, text).expect("a trace can be written");
    }
}

async fn replay_with(
    deployment: &Deployment,
    order: &str,
) -> crate::load::ReplayResult {
    let rows = read_trace(deployment.trace).expect("a committed trace can be read");
    let plan = deployment.plan.clone().set_sidecar("fairness.order", order);
    let fleet = Fleet::start(plan).await;
    let bar = ProgressBar::new(rows.len() as u64).with_message(format!("order = {order}"));
    let style = ProgressStyle::with_template("{msg:16} {bar:40} {pos} of {len} requests");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    let result = replay(&fleet, deployment, &rows, |ended| {
        bar.set_position(ended as u64)
    })
    .await;
    bar.finish();
    result
}

fn selected_deployment(matches: &Matches) -> Deployment {
    match matches.opt_str("deployment").as_deref() {
        Some("association") => association(),
        _ => parking(),
    }
}
