//! Replicas that write nothing for a while and then go on, in addition to the other faults.

use {
    super::{
        fault::Fault,
        schedule::{PlannedFault, draw_faults},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        ops::{Range, RangeInclusive},
        time::Duration,
    },
};

/// Time between the starts of two pauses, in milliseconds.
const GAP_MS: Range<u64> = 500..2500;

/// Length of a pause, in milliseconds.
const PAUSE_MS: RangeInclusive<u64> = 1000..=2000;

/// Combined with the seed, so that these draws are independent of the other faults.
const PAUSE_SEED: u64 = 0x9a_05_e5;

/// Draws the pauses of a run, of one, several or all replicas; the same seed gives the same
/// pauses.
pub fn pauses(
    seed: u64,
    length: Duration,
    replicas: usize,
) -> Vec<PlannedFault> {
    let random = StdRng::seed_from_u64(seed ^ PAUSE_SEED);
    draw_faults(random, GAP_MS, length, |random| {
        let lasts = Duration::from_millis(random.random_range(PAUSE_MS));
        let first = random.random_range(0..replicas);
        let fault = match random.random_range(0..4) {
            0 | 1 => Fault::PauseReplica(first),
            2 => Fault::PauseReplicas {
                first,
                count: random.random_range(1..=replicas),
            },
            _ => Fault::PauseReplicas {
                first: 0,
                count: replicas,
            },
        };
        (lasts, fault)
    })
}
