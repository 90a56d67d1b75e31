use {
    super::main::number,
    crate::{
        fleet::{Fleet, FleetPlan, FleetText},
        load::{Backlog, BacklogResult},
        standin::EngineSettings,
    },
    getopts::Matches,
    std::time::Duration,
};

/// Time until every account is backlogged and the processes have exchanged their first
/// totals of service.
const WARM_UP: Duration = Duration::from_secs(3);

/// Measures fairness with ten backlogged accounts on 20 upstreams, whose callers are
/// spread unevenly over four routers.
pub async fn fairness(matches: &Matches) {
    let case = matches.opt_str("case").unwrap_or("full".to_owned());
    let seconds = number(matches, "seconds", 20);
    let mut plan = fairness_plan(&case);
    for (name, is_router) in [("router", true), ("sidecar", false)] {
        for setting in matches.opt_strs(name) {
            let (key, value) = setting.split_once('=').expect("section.key=value");
            plan = if is_router {
                plan.set_router(key, value)
            } else {
                plan.set_sidecar(key, value)
            };
        }
    }
    let fleet = Fleet::start(plan).await;
    let load = Backlog {
        seed: number(matches, "seed", 1),
        ..Backlog::ten_accounts("drafter")
    };
    let length = Duration::from_secs(seconds);
    let result = load.run(&fleet, WARM_UP, length, |_| {}).await;
    if matches.opt_present("json") {
        println!("{}", serde_json::to_string(&result).unwrap_or_default());
    } else {
        print_result(&case, &result);
    }
}

/// The fleet in which fairness is measured. With the case `rules`, three accounts are
/// restricted to 12 of the 20 upstreams by a rule; with others, all may use all of them.
pub fn fairness_plan(case: &str) -> FleetPlan {
    let mut text = FleetText::default()
        .class("patient", "120 s")
        .models("drafting", "drafter");
    for number in 1..=10 {
        let labels = if number <= 3 { "bound=yes" } else { "" };
        text = text.account(&format!("a{number}"), 1.0, "patient", labels);
    }
    if case == "rules" {
        let numbers: Vec<String> = (1..=12).map(|n| n.to_string()).collect();
        let hosts = format!("number in ({})", numbers.join(" "));
        text = text.rule("bound", &[("requests", "bound = yes"), ("hosts", &hosts)]);
    }
    let engine = EngineSettings {
        slots: 4,
        token_time: Duration::from_millis(10),
        ..EngineSettings::default()
    };
    FleetPlan::new(text)
        .routers(4)
        .engines(20, engine)
        .one_way_delay(Duration::from_millis(1))
}

fn print_result(
    case: &str,
    result: &BacklogResult,
) {
    let quarters: Vec<String> = (1..=4)
        .map(|n| format!("{:.0}", result.gap_at(n)))
        .collect();
    let mean = result.samples.last().map_or(0.0, |sample| {
        sample.per_share.values().sum::<f64>() / sample.per_share.len() as f64
    });
    println!(
        "{case}: gap at each quarter {} tokens (worst {:.0}, mean service {mean:.0}), \
         utilisation {:.3}, control {:.0} B/s per process, whole {}, refused {}, cut {}, wrong {}",
        quarters.join(" "),
        result.worst_gap(),
        result.utilisation,
        result.control_bytes_per_second,
        result.whole,
        result.refused,
        result.cut,
        result.wrong,
    );
}
