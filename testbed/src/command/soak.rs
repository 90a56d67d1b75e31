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

/// The exit code when a promise was broken, or a run proved nothing.
const BROKEN: u8 = 1;

/// Runs the fault soak for some seeds, one after the other, each for its part of
/// the time.
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
            exit = ExitCode::from(BROKEN);
            tell(&result, matches.opt_str("out").as_deref());
        }
    }
    exit
}

/// Prints what is broken and keeps the logs where they are asked for.
fn tell(
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
