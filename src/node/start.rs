use {
    crate::{
        codes::ResultCode,
        conf::ConfError,
        keys::install_crypto,
        ops::{flush_logs, log_panics, start_logging},
    },
    error_stack::{Report, ResultExt},
    getopts::Options,
    std::{fmt, process::ExitCode},
};

/// Threads of the runtime's blocking pool, which validates configurations. The allocator keeps
/// the memory that each thread has used, so there are few.
pub const BLOCKING_THREADS: usize = 1;

/// The first argument of a router that sends requests to the replicas itself.
pub const DIRECT_FLAG: &str = "--direct";

/// A process could not start, or failed while it ran. The number of the code is the exit code.
#[derive(Debug)]
pub struct StartError(pub ResultCode);

impl fmt::Display for StartError {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "error {}: {}", self.0.number(), self.0.meaning())
    }
}

impl std::error::Error for StartError {}

/// Handles a daemon's command line: `--settings FILE`, `--check-settings`,
/// `--print-defaults`, `--version`. `shipped` is the text of the default settings, `read` reads
/// the settings file, `host` names the host in logs, and `serve` runs until the process stops.
pub fn run_process<S>(
    program: &str,
    shipped: &str,
    read: impl Fn(&str) -> Result<S, ConfError>,
    host: impl Fn(&S) -> String,
    serve: impl FnOnce(S) -> Result<(), Report<StartError>>,
) -> ExitCode {
    let mut options = Options::new();
    options
        .optopt("s", "settings", "read this settings file", "FILE")
        .optflag("", "check-settings", "check the file and stop")
        .optflag("", "print-defaults", "print the commented defaults")
        .optflag("V", "version", "print the version")
        .optflag("h", "help", "print this text");
    let arguments = std::env::args()
        .skip(1)
        .filter(|argument| argument != DIRECT_FLAG);
    let matches = match options.parse(arguments) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(_) => return usage(program, &options, "takes options only"),
        Err(error) => return usage(program, &options, &error.to_string()),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(&format!("{program} --settings FILE")));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("{program} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("print-defaults") {
        print!("{shipped}");
        return ExitCode::SUCCESS;
    }
    let Some(path) = matches.opt_str("settings") else {
        return usage(program, &options, "--settings is required");
    };
    let settings = match read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(error.code.number());
        }
    };
    if matches.opt_present("check-settings") {
        println!("{path}: no fault found");
        return ExitCode::SUCCESS;
    }
    install_crypto();
    start_logging(&host(&settings));
    log_panics();
    let code = match serve(settings).attach_with(|| format!("{program} with {path}")) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            let code = report.current_context().0;
            log::error!(code = code.number(); "{report:?}");
            ExitCode::from(code.number())
        }
    };
    flush_logs();
    code
}

fn usage(
    program: &str,
    options: &Options,
    fault: &str,
) -> ExitCode {
    let code = ResultCode::Usage;
    eprintln!("error {}: {fault}", code.number());
    eprintln!("{}", options.usage(&format!("{program} --settings FILE")));
    ExitCode::from(code.number())
}
