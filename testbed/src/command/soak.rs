use {
    super::main::number,
    crate::soak::{SoakFleet, SoakResult, soak},
    getopts::Matches,
    std::{
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
        time::Duration,
    },
};

/// The exit code when a guarantee was violated, or a run is not valid because the test
/// program itself was delayed too much.
const EXIT_FAILED: u8 = 1;

/// Runs the fault soak for each of some seeds, one after the other. The given time is
/// divided evenly among them.
pub async fn soak_seeds(matches: &Matches) -> ExitCode {
    let first = number(matches, "seed", 1);
    let seeds = number(matches, "seeds", 1).max(1);
    let seconds = number(matches, "minutes", 1) * 60;
    let length = Duration::from_secs(seconds) / seeds as u32;
    let mut fleet = match matches.opt_str("fleet") {
        None => SoakFleet::default(),
        Some(path) => match SoakFleet::read(&path) {
            Ok(fleet) => fleet,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::from(error.code.number());
            }
        },
    };
    fleet.other_build = matches.opt_str("other").map(PathBuf::from);
    let mut exit = ExitCode::SUCCESS;
    for seed in first..first + seeds {
        let result = soak(seed, length, &fleet).await;
        println!("{}", result.summary());
        if !result.violations.is_empty() || !result.valid {
            exit = ExitCode::from(EXIT_FAILED);
            report_violations(&result, matches.opt_str("out").as_deref());
        }
    }
    exit
}

/// Prints the injected faults and the violations, and writes the logs to a folder if one
/// is given.
fn report_violations(
    result: &SoakResult,
    folder: Option<&str>,
) {
    for line in result.faults.iter().chain(&result.violations) {
        println!("  {line}");
    }
    let Some(folder) = folder else {
        return;
    };
    let folder = Path::new(folder).join(format!("seed-{}", result.seed));
    fs::create_dir_all(&folder).expect("a folder for logs");
    for (name, text) in &result.logs {
        fs::write(folder.join(name), text).expect("a log can be written");
    }
}
