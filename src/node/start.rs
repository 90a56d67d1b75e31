use {
    crate::{
        codes::ResultCode,
        conf::ConfError,
        keys::install_crypto,
        ops::{flush_logs, start_logging},
    },
    error_stack::{Report, ResultExt},
    getopts::Options,
    std::{fmt, process::ExitCode},
};

/// Threads for validating configurations. Each keeps what it once allocated,
/// so there are few.
pub const BLOCKING_THREADS: usize = 1;

/// The first word of a router's command line that carries requests itself.
pub const DIRECT_FLAG: &str = "--direct";

/// Why a process did not start. Its code is the exit code.
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
/// `--print-defaults`, `--version`. `serve` runs until the process has stopped.
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
    let words = std::env::args().skip(1).filter(|word| word != DIRECT_FLAG);
    let matches = match options.parse(words) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(_) => return usage(program, &options, "takes no other words"),
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
