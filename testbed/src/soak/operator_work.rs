//! Zones that the operator empties, replicas that come back slowly, and routers that are
//! replaced by another build in series, beside the other faults.

use {
    super::{fault::Fault, schedule::PlannedFault, soak_fleet::SoakFleet},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{ops::Range, time::Duration},
};

/// Between two zones that are emptied, or two that come back slowly, in milliseconds.
const GAP_MS: Range<u64> = 500..3000;

/// How much longer than it must get nothing a zone stays emptied, in milliseconds.
const EMPTIED_MS: Range<u64> = 500..3000;

/// How long replicas are away that come back slowly, in milliseconds.
const AWAY_MS: Range<u64> = 200..2500;

/// Between two rounds of replaced routers, in milliseconds.
const ROUND_MS: Range<u64> = 500..3000;

/// Set the draws apart from those of other faults.
const CORDONS: u64 = 0xc0_4d_01;
const STARTS: u64 = 0x51_0e_57;
const BUILDS: u64 = 0xb0_11_d5;

/// Zones that are emptied and taken back, the same for the same seed.
pub fn cordons(
    seed: u64,
    length: Duration,
    fleet: &SoakFleet,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ CORDONS);
    let zones = fleet.zones;
    let least = fleet.evacuate;
    one_after_the_other(&mut random, GAP_MS, length, |random| {
        let more = Duration::from_millis(random.random_range(EMPTIED_MS));
        let zone = random.random_range(0..zones);
        (least + more, Fault::EmptyZone(zone))
    })
}

/// Zones whose replicas are away for a while and come back slowly, all at once.
pub fn slow_returns(
    seed: u64,
    length: Duration,
    fleet: &SoakFleet,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ STARTS);
    let zones = fleet.zones;
    series(&mut random, GAP_MS, length, |random| {
        let away = Duration::from_millis(random.random_range(AWAY_MS));
        (away, Fault::SlowReturn(random.random_range(0..zones)))
    })
}

/// All routers replaced by the other build one after the other, and back, again and again.
pub fn replaced_builds(
    seed: u64,
    length: Duration,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ BUILDS);
    series(&mut random, ROUND_MS, length, |_| {
        (Duration::ZERO, Fault::ReplaceBuilds)
    })
}

/// The same as [`series`], where each begins when the one before is over.
fn one_after_the_other(
    random: &mut StdRng,
    gap_ms: Range<u64>,
    length: Duration,
    draw: impl FnMut(&mut StdRng) -> (Duration, Fault),
) -> Vec<PlannedFault> {
    let mut planned = series(random, gap_ms, length, draw);
    let mut at = Duration::ZERO;
    let mut last = Duration::ZERO;
    for fault in &mut planned {
        fault.after += last;
        last = fault.lasts;
        at += fault.after;
        if at >= length {
            fault.lasts = Duration::ZERO;
        }
    }
    planned.retain(|fault| !fault.lasts.is_zero());
    planned
}

fn series(
    random: &mut StdRng,
    gap_ms: Range<u64>,
    length: Duration,
    mut draw: impl FnMut(&mut StdRng) -> (Duration, Fault),
) -> Vec<PlannedFault> {
    let mut planned = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let after = Duration::from_millis(random.random_range(gap_ms.clone()));
        let (lasts, fault) = draw(random);
        at += after;
        if at >= length {
            return planned;
        }
        planned.push(PlannedFault {
            after,
            lasts,
            fault,
        });
    }
}
