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

const USAGE_TEXT: &str = "\
archmast-testbed COMMAND [OPTIONS]

Commands:
  demo       replays an example deployment's trace in fair order and in order of arrival
  traces     regenerates the traces of the example deployments
  fairness   ten backlogged accounts: fairness gap over time, utilisation, control bytes
  latency    latency that an idle fleet adds to a direct call
  ahead      utilisation with calls of 20 ms, with and without grants ahead of free slots
  prefix     prefix cache hits, with and without affinity
  control    control bytes by kind of message, idle and backlogged
  revision   time until all processes use a changed configuration
  costs      microseconds per choice, share status, report and request (--requests)
  soak       injects faults at random times and lists violated guarantees (--seed,
             --seeds, --minutes, --fleet)
  ending     a request, or a part of prompts, that crashes replicas, in several scenarios: late
             arrivals of it, and harmless requests at the same time (--seed, --seeds, --seconds)
  zone-loss  outcomes of requests while an availability zone fails";

/// The exit code for an invalid command line, the same as that of the archmast programs.
const EXIT_USAGE: u8 = 90;

/// Parses the command line and runs the command.
pub fn main() -> ExitCode {
    let options = options();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => return usage(&options, &error.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE_TEXT));
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
        Some(other) => return usage(options, &format!("unknown command {other}")),
        None => return usage(options, "a command is required"),
    }
    ExitCode::SUCCESS
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("", "seconds", "length of a run", "NUMBER")
        .optopt("", "case", "full or rules (fairness)", "NAME")
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
        .optopt("", "seed", "seed of the random choices", "NUMBER")
        .optopt(
            "",
            "seeds",
            "number of seeds, from --seed on (soak, ending)",
            "NUMBER",
        )
        .optopt(
            "",
            "scenario",
            "one scenario only, by its name (ending)",
            "NAME",
        )
        .optopt(
            "",
            "minutes",
            "length of all runs together (soak)",
            "NUMBER",
        )
        .optopt("", "deployment", "parking or association (demo)", "NAME")
        .optopt("", "html", "writes an HTML page with plots (demo)", "FILE")
        .optopt(
            "",
            "requests",
            "number of requests of each kind (costs)",
            "NUMBER",
        )
        .optopt(
            "",
            "out",
            "folder for the logs of failed runs (soak)",
            "FILE",
        )
        .optopt(
            "",
            "fleet",
            "description of the fleet, such as those in testbed/fleets (soak)",
            "FILE",
        )
        .optopt(
            "",
            "other",
            "another build of archmast-router, with which running routers are replaced (soak)",
            "PROGRAM",
        )
        .optflag("j", "json", "print JSON")
        .optflag("h", "help", "print this text");
    options
}

/// The number given as an option. The default if the option is missing or not a number.
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
    problem: &str,
) -> ExitCode {
    eprintln!("error {EXIT_USAGE}: {problem}");
    eprintln!("{}", options.usage(USAGE_TEXT));
    ExitCode::from(EXIT_USAGE)
}
