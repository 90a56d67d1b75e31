use {
    super::main::number,
    crate::soak::{EndingKind, MOST_LATE, ending_run},
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
    for kind in EndingKind::ALL {
        for seed in first..first + seeds {
            let result = ending_run(kind, seed, length).await;
            println!("{}", result.summary());
            if result.late > MOST_LATE {
                exit = ExitCode::from(EXIT_FAILED);
            }
        }
    }
    exit
}
