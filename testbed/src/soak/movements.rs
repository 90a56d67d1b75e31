//! Replicas that are replaced in series while routers restart.

use {
    super::{fault::Fault, schedule::PlannedFault},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

/// Time between two series, in milliseconds.
const SERIES_GAP_MS: std::ops::Range<u64> = 200..1200;

/// Replicas that leave in one series.
const SERIES_LENGTH: std::ops::RangeInclusive<usize> = 1..=4;

/// Time before each fault of a series, in milliseconds.
const STEP_MS: std::ops::Range<u64> = 0..250;

/// How long killed routers are down, in milliseconds. Short, since a platform restarts a
/// crashed process at once.
const ROUTER_DOWN_MS: std::ops::Range<u64> = 100..700;

/// Fraction of the series in which routers are killed.
const KILL_PROBABILITY: f64 = 0.7;

/// Fraction of the replicas that leave without having been listed as leaving.
const UNANNOUNCED_PROBABILITY: f64 = 0.7;

/// At most one router in this many is killed at once.
const MAX_KILLED_DIVISOR: usize = 3;

/// Combined with the seed, so that these draws are independent of the other faults.
const MOVEMENT_SEED: u64 = 0x30_5e_7e;

/// Draws the replaced replicas and killed routers of a run; the same seed gives the same.
pub fn movements(
    seed: u64,
    length: Duration,
    routers: usize,
    replicas: usize,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ MOVEMENT_SEED);
    let mut planned: Vec<PlannedFault> = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let series = series(&mut random, routers, replicas);
        at += series.iter().map(|fault| fault.after).sum::<Duration>();
        if at >= length {
            return planned;
        }
        planned.extend(series);
    }
}

fn series(
    random: &mut StdRng,
    routers: usize,
    replicas: usize,
) -> Vec<PlannedFault> {
    let count = random.random_range(SERIES_LENGTH);
    let killed_before = random
        .random_bool(KILL_PROBABILITY)
        .then(|| random.random_range(0..count));
    let mut faults = Vec::new();
    for number in 0..count {
        if killed_before == Some(number) {
            faults.push((kill(random, routers), ROUTER_DOWN_MS));
        }
        let replica = random.random_range(0..replicas);
        let fault = match random.random_bool(UNANNOUNCED_PROBABILITY) {
            true => Fault::UnlistReplica(replica),
            false => Fault::DrainReplica(replica),
        };
        faults.push((fault, 0..1));
    }
    let mut planned: Vec<PlannedFault> = faults
        .into_iter()
        .map(|(fault, lasts)| PlannedFault {
            after: Duration::from_millis(random.random_range(STEP_MS)),
            lasts: Duration::from_millis(random.random_range(lasts)),
            fault,
        })
        .collect();
    planned[0].after += Duration::from_millis(random.random_range(SERIES_GAP_MS));
    planned
}

fn kill(
    random: &mut StdRng,
    routers: usize,
) -> Fault {
    let count = random.random_range(1..=(routers / MAX_KILLED_DIVISOR).max(1));
    let first = random.random_range(0..=routers - count);
    Fault::KillRouters { first, count }
}
