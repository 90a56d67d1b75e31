//! Replicas that are replaced in series by such of other software versions, forth and back, and
//! connections of callers that break, in addition to the other faults.

use {
    super::{
        fault::Fault,
        schedule::{PlannedFault, draw_faults},
        soak_fleet::SoakFleet,
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::{ops::Range, time::Duration},
};

/// Time from the last replica of a series to the first of the next, in milliseconds. A replica
/// that leaves serves on for longer, so that series overlap.
const SERIES_GAP_MS: Range<u64> = 300..3000;

/// Upper bound of the time between two replicas of one series, in milliseconds.
const MAX_STEP_MS: Range<u64> = 20..500;

/// Fraction of the series that go back to the version before.
const ROLLBACK_PROBABILITY: f64 = 0.3;

/// Fraction of the series that stop before the last replica.
const PARTIAL_PROBABILITY: f64 = 0.4;

/// Time between two routers whose callers' connections break, in milliseconds.
const RESET_GAP_MS: Range<u64> = 50..600;

/// Combined with the seed, so that these draws are independent of the other faults.
const VERSION_SEED: u64 = 0x7e_25_10;
const RESET_SEED: u64 = 0x2e_5e_75;

/// Draws replacements of the replicas that stream events; the same seed gives the same.
pub fn versions(
    seed: u64,
    length: Duration,
    fleet: &SoakFleet,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ VERSION_SEED);
    let mut slots: Vec<usize> = (fleet.plain..fleet.plain + fleet.events).collect();
    let mut planned: Vec<PlannedFault> = Vec::new();
    let mut at = Duration::ZERO;
    let (mut version, mut newest) = (1, 1);
    loop {
        if version > 1 && random.random_bool(ROLLBACK_PROBABILITY) {
            version -= 1;
        } else {
            newest += 1;
            version = newest;
        }
        slots.shuffle(&mut random);
        let count = match random.random_bool(PARTIAL_PROBABILITY) {
            true => random.random_range(1..=slots.len()),
            false => slots.len(),
        };
        let max_step = random.random_range(MAX_STEP_MS);
        let mut wait = random.random_range(SERIES_GAP_MS);
        for replica in &slots[..count] {
            let after = Duration::from_millis(wait);
            at += after;
            if at >= length {
                return planned;
            }
            planned.push(PlannedFault {
                after,
                lasts: Duration::ZERO,
                fault: Fault::ChangeVersion {
                    replica: *replica,
                    version,
                },
            });
            wait = random.random_range(0..max_step);
        }
    }
}

/// Draws routers whose callers' open connections are closed. Every other router keeps its
/// connections, so that streams that are taken up there must go on.
pub fn caller_resets(
    seed: u64,
    length: Duration,
    routers: usize,
) -> Vec<PlannedFault> {
    let random = StdRng::seed_from_u64(seed ^ RESET_SEED);
    draw_faults(random, RESET_GAP_MS, length, |random| {
        let router = 2 * random.random_range(0..routers.div_ceil(2));
        (Duration::ZERO, Fault::ResetCallers(router))
    })
}
