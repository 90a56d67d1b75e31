//! Replicas that say in their answers that they leave, and replicas that turn requests away
//! and ask for rest, beside the other faults.

use {
    super::{
        fault::Fault,
        schedule::{PlannedFault, planned},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{ops::Range, time::Duration},
};

/// Between two replicas that say something, in milliseconds.
const GAP_MS: Range<u64> = 200..1500;

/// How long replicas turn requests away, in milliseconds: some rests end meanwhile, and
/// are asked for again.
const TURNS_AWAY_MS: Range<u64> = 300..5000;

/// Sets the draw apart from those of other faults.
const NOTICES: u64 = 0x5a_1d_17;

/// What replicas say, the same for the same seed.
pub fn notices(
    seed: u64,
    length: Duration,
    replicas: usize,
) -> Vec<PlannedFault> {
    let random = StdRng::seed_from_u64(seed ^ NOTICES);
    planned(random, GAP_MS, length, |random| {
        let replica = random.random_range(0..replicas);
        let lasts = Duration::from_millis(random.random_range(TURNS_AWAY_MS));
        let fault = match random.random_range(0..8) {
            0..=2 => Fault::SayLeaving(replica),
            3..=6 => Fault::AskForRest(replica),
            _ => Fault::AllAskForRest,
        };
        (lasts, fault)
    })
}
