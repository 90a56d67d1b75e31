use {
    super::{
        CtlError, audit::audit, check::check, explain::explain, fleet_reader::FleetReader,
        held::held, shares::shares, status::status, timeline::timeline, trace::trace,
    },
    crate::{codes::ResultCode, keys::install_crypto},
    getopts::{Matches, Options},
    std::process::ExitCode,
};

const USAGE: &str = "\
archmastctl COMMAND [OPTIONS]

Commands, which only read:
  check FILE [PART...]   validate a configuration before it is published
  explain                say where a request may run, by which rules, and its share
  status                 every process: version, revision in force, load
  shares                 service per share of each client account, fleet-wide
  held                   requests held back since replicas ended under them, and by whom
  audit                  every process's changes, merged by time
  trace ID FILE...       what collected logs say of a request, by time
  timeline FILE...       what they say of a moment (--at, --around, --only), by time
  codes                  the result codes";

/// The command `archmastctl`. The exit code is 0 on success, else the number of a result code.
pub fn main() -> ExitCode {
    install_crypto();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err((text, error)) => {
            print!("{text}");
            eprintln!("{error}");
            ExitCode::from(error.code.number())
        }
    }
}

/// The output, or an error with the partial output.
type Outcome = Result<String, (String, CtlError)>;

fn run(arguments: &[String]) -> Outcome {
    let options = options();
    let matches = options
        .parse(arguments)
        .map_err(|error| (String::new(), CtlError::usage(error)))?;
    if matches.opt_present("help") {
        return Ok(options.usage(USAGE) + "\n");
    }
    if matches.opt_present("version") {
        return Ok(format!("archmastctl {}\n", env!("CARGO_PKG_VERSION")));
    }
    let json = matches.opt_present("json");
    let without_output =
        |outcome: Result<String, CtlError>| outcome.map_err(|e| (String::new(), e));
    match matches.free.first().map(String::as_str) {
        Some("check") => without_output(check(&matches.free[1..], json)),
        Some("explain") => without_output(explain(&matches, json)),
        Some("trace") => without_output(trace(&matches.free[1..], json)),
        Some("timeline") => without_output(timeline(&matches, json)),
        Some("codes") => Ok(codes()),
        Some("status") => with_fleet(&matches, async |reader: &FleetReader| {
            status(reader, json).await
        }),
        Some("shares") => with_fleet(&matches, async |reader: &FleetReader| {
            shares(reader, json).await
        }),
        Some("held") => with_fleet(&matches, async |reader: &FleetReader| {
            held(reader, json).await
        }),
        Some("audit") => with_fleet(&matches, async |reader: &FleetReader| {
            audit(reader, &matches, json).await
        }),
        Some(other) => without_output(Err(CtlError::usage(format!("no command {other}")))),
        None => without_output(Err(CtlError::usage("a command is required; see --help"))),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("p", "platform", "the platform's service", "IP:PORT")
        .optopt("", "hosts", "a host list in a file instead", "FILE")
        .optopt("c", "config", "a configuration in a file (explain)", "FILE")
        .optopt("a", "account", "a client account (explain)", "NAME")
        .optopt("m", "model", "a model (explain)", "NAME")
        .optopt("", "path", "a path of a plain service (explain)", "PATH")
        .optopt("l", "labels", "labels of the request (explain)", "A=B,...")
        .optopt("r", "revision", "only this revision (audit)", "NUMBER")
        .optopt("", "at", "a moment, unix clock (timeline)", "MILLISECONDS")
        .optopt("", "around", "on each side of it (timeline)", "SECONDS")
        .optopt("", "only", "lines with this text (timeline)", "TEXT")
        .optflag("j", "json", "print JSON")
        .optflag("V", "version", "print the version")
        .optflag("h", "help", "print this text");
    options
}

fn with_fleet(
    matches: &Matches,
    command: impl AsyncFnOnce(&FleetReader) -> Result<String, CtlError>,
) -> Outcome {
    let failed = |error: CtlError| (String::new(), error);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| failed(CtlError::new(ResultCode::StartFailed, error)))?;
    runtime.block_on(async {
        let reader = FleetReader::connect(matches).await.map_err(failed)?;
        let text = command(&reader).await.map_err(failed)?;
        match reader.unreachable() {
            None => Ok(text),
            Some(hosts) => Err((text, CtlError::new(ResultCode::PartialAnswer, hosts))),
        }
    })
}

fn codes() -> String {
    ResultCode::ALL
        .iter()
        .map(|code| {
            format!(
                "{:>3}  ran {:<7}  {}\n",
                code.number(),
                code.ran(),
                code.meaning()
            )
        })
        .collect()
}
