//! Replicas that announce in their answers that they are leaving, and replicas that refuse
//! requests and ask for a backoff, in addition to the other faults.

use {
    super::{
        fault::Fault,
        schedule::{PlannedFault, draw_faults},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{ops::Range, time::Duration},
};

/// Time between two such replicas, in milliseconds.
const GAP_MS: Range<u64> = 200..1500;

/// How long replicas refuse requests, in milliseconds. Some backoffs end meanwhile and are
/// requested again.
const REFUSAL_MS: Range<u64> = 300..5000;

/// Combined with the seed, so that these draws are independent of the other faults.
const NOTICE_SEED: u64 = 0x5a_1d_17;

/// Draws the notices of a run; the same seed gives the same notices.
pub fn notices(
    seed: u64,
    length: Duration,
    replicas: usize,
) -> Vec<PlannedFault> {
    let random = StdRng::seed_from_u64(seed ^ NOTICE_SEED);
    draw_faults(random, GAP_MS, length, |random| {
        let replica = random.random_range(0..replicas);
        let lasts = Duration::from_millis(random.random_range(REFUSAL_MS));
        let fault = match random.random_range(0..8) {
            0..=2 => Fault::SayLeaving(replica),
            3..=6 => Fault::AskForRest(replica),
            _ => Fault::AllAskForRest,
        };
        (lasts, fault)
    })
}
