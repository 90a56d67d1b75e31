use {
    super::main::number,
    crate::soak::{CrashScenario, MAX_LATE_ARRIVALS, crash_run},
    getopts::Matches,
    std::{process::ExitCode, time::Duration},
};

/// The exit code when the request reached more replicas than is allowed.
const EXIT_FAILED: u8 = 1;

/// Runs every scenario of a request that crashes replicas, for each of some seeds, one
/// after the other.
pub async fn ending(matches: &Matches) -> ExitCode {
    let first = number(matches, "seed", 1);
    let seeds = number(matches, "seeds", 1).max(1);
    let length = Duration::from_secs(number(matches, "seconds", 24));
    let mut exit = ExitCode::SUCCESS;
    for scenario in CrashScenario::ALL {
        for seed in first..first + seeds {
            let result = crash_run(scenario, seed, length).await;
            println!("{}", result.summary());
            if result.late_arrivals > MAX_LATE_ARRIVALS {
                exit = ExitCode::from(EXIT_FAILED);
            }
        }
    }
    exit
}
