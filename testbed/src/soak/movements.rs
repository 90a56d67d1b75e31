//! Replicas that are replaced in series while routers restart.

use {
    super::{fault::Fault, schedule::PlannedFault},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

/// Between two series, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 200..1200;

/// Replicas that leave in one series.
const SERIES: std::ops::RangeInclusive<usize> = 1..=4;

/// Between two replicas of a series, and before the routers that are killed with it.
const STEP_MS: std::ops::Range<u64> = 0..250;

/// How long killed routers are away: the platform starts them again at once.
const AWAY_MS: std::ops::Range<u64> = 100..700;

/// The part of the series that routers are killed with.
const WITH_KILL: f64 = 0.7;

/// The part of the replicas that leave without a word before.
const UNANNOUNCED: f64 = 0.7;

/// Up to this part of the routers is killed at once.
const KILLED_PART: usize = 3;

/// Sets the draw of movements apart from that of other faults.
const MOVEMENTS: u64 = 0x30_5e_7e;

/// The movements of a run, the same for the same seed.
pub fn movements(
    seed: u64,
    length: Duration,
    routers: usize,
    replicas: usize,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ MOVEMENTS);
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
    let count = random.random_range(SERIES);
    let killed_before = random
        .random_bool(WITH_KILL)
        .then(|| random.random_range(0..count));
    let mut faults = Vec::new();
    for number in 0..count {
        if killed_before == Some(number) {
            faults.push((kill(random, routers), AWAY_MS));
        }
        let replica = random.random_range(0..replicas);
        let fault = match random.random_bool(UNANNOUNCED) {
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
    planned[0].after += Duration::from_millis(random.random_range(GAP_MS));
    planned
}

fn kill(
    random: &mut StdRng,
    routers: usize,
) -> Fault {
    let count = random.random_range(1..=(routers / KILLED_PART).max(1));
    let first = random.random_range(0..=routers - count);
    Fault::KillRouters { first, count }
}
