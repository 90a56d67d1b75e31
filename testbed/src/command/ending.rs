use {
    super::main::number,
    crate::soak::{CrashScenario, MAX_LATE_ARRIVALS, MIN_SERVED_SHARE, crash_run},
    getopts::Matches,
    std::{process::ExitCode, time::Duration},
};

/// The exit code when the request or part reached more replicas than is allowed, too few
/// harmless requests were served, or answers lacked a part.
const EXIT_FAILED: u8 = 1;

/// Runs every scenario of a request or part of prompts that crashes replicas, for each of some
/// seeds, one after the other.
pub async fn ending(matches: &Matches) -> ExitCode {
    let first = number(matches, "seed", 1);
    let seeds = number(matches, "seeds", 1).max(1);
    let length = Duration::from_secs(number(matches, "seconds", 24));
    let mut exit = ExitCode::SUCCESS;
    let only = matches.opt_str("scenario");
    let is_chosen = |scenario: &CrashScenario| {
        let name = format!("{scenario:?}");
        only.as_ref().is_none_or(|only| *only == name)
    };
    for scenario in CrashScenario::ALL.into_iter().filter(is_chosen) {
        for seed in first..first + seeds {
            let result = crash_run(scenario, seed, length).await;
            println!("{}", result.summary());
            let serves_too_few =
                result.bound_from.is_some() && result.late_served_share() < MIN_SERVED_SHARE;
            if result.late_arrivals > MAX_LATE_ARRIVALS || serves_too_few || result.truncated() > 0
            {
                exit = ExitCode::from(EXIT_FAILED);
            }
        }
    }
    exit
}
