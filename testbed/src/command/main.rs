use {
    super::{
        demo::{demo, traces},
        ending::ending,
        fairness::fairness,
        measures::{ahead, control, costs, latency, prefix, revision, zone_loss},
        soak::soak_seeds,
    },
    getopts::{Matches, Options},
    std::process::ExitCode,
};

const BRIEF: &str = "\
archmast-testbed COMMAND [OPTIONS]

Commands:
  demo       replays a deployment of the brief, beside a baseline
  traces     makes the deployments' traces anew
  fairness   ten backlogged accounts: gap over time, utilisation, control bytes
  latency    what a call through an idle fleet takes more than a direct one
  ahead      utilisation on 20 ms calls, with and without grants ahead
  prefix     prefix cache hits, with and without affinity
  control    control bytes by kind, idle and backlogged
  revision   time until a change of configuration is in force everywhere
  costs      microseconds of a choice, a standing, a report and a request (--requests)
  soak       faults at random times; what breaks a promise (--seed, --seeds, --minutes,
             --fleet)
  ending     a request that ends replicas, in five settings: sends that come late, and
             harmless requests beside it (--seed, --seeds, --seconds)
  zone-loss  what the death of an availability zone does to requests";

/// The exit code for a wrong command line, as the product has it.
const USAGE: u8 = 90;

/// The command line.
pub fn main() -> ExitCode {
    let options = options();
    let words: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options.parse(&words) {
        Ok(matches) => matches,
        Err(error) => return usage(&options, &error.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(BRIEF));
        return ExitCode::SUCCESS;
    }
    archmast::ops::start_logging("testbed");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("a runtime can start");
    runtime.block_on(run(&options, &matches))
}

async fn run(
    options: &Options,
    matches: &Matches,
) -> ExitCode {
    match matches.free.first().map(String::as_str) {
        Some("demo") => demo(matches).await,
        Some("traces") => traces(),
        Some("fairness") => fairness(matches).await,
        Some("latency") => latency().await,
        Some("ahead") => ahead(matches).await,
        Some("prefix") => prefix(matches).await,
        Some("control") => control(matches).await,
        Some("revision") => revision().await,
        Some("costs") => costs(matches).await,
        Some("ending") => return ending(matches).await,
        Some("soak") => return soak_seeds(matches).await,
        Some("zone-loss") => zone_loss(matches).await,
        Some(other) => return usage(options, &format!("no command {other}")),
        None => return usage(options, "a command is required"),
    }
    ExitCode::SUCCESS
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("", "seconds", "length of a run", "NUMBER")
        .optopt("", "case", "full, rules or kinds", "NAME")
        .optmulti(
            "",
            "router",
            "a router setting, section.key=value",
            "SETTING",
        )
        .optmulti(
            "",
            "sidecar",
            "a sidecar setting, section.key=value",
            "SETTING",
        )
        .optopt("", "seed", "of the random costs", "NUMBER")
        .optopt(
            "",
            "seeds",
            "how many seeds, from --seed on (soak)",
            "NUMBER",
        )
        .optopt("", "minutes", "of all seeds together (soak)", "NUMBER")
        .optopt("", "deployment", "parking or association", "NAME")
        .optopt("", "html", "a page with plots (demo)", "FILE")
        .optopt("", "requests", "of each kind (costs)", "NUMBER")
        .optopt(
            "",
            "out",
            "where logs of broken runs are written (soak)",
            "FILE",
        )
        .optopt("", "fleet", "the fleet, as testbed/fleets (soak)", "FILE")
        .optopt(
            "",
            "other",
            "another build of archmast-router, by which routers are replaced (soak)",
            "PROGRAM",
        )
        .optflag("j", "json", "print JSON")
        .optflag("h", "help", "print this text");
    options
}

/// A number given as an option, or its default.
pub fn number(
    matches: &Matches,
    name: &str,
    default: u64,
) -> u64 {
    matches
        .opt_str(name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn usage(
    options: &Options,
    fault: &str,
) -> ExitCode {
    eprintln!("error {USAGE}: {fault}");
    eprintln!("{}", options.usage(BRIEF));
    ExitCode::from(USAGE)
}
