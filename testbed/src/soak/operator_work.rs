//! Zones that the operator cordons, replicas that return with a slow start, a store that returns
//! from a copy, and routers that are replaced in series by another build, in addition to the other
//! faults.

use {
    super::{fault::Fault, schedule::PlannedFault, soak_fleet::SoakFleet},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{ops::Range, time::Duration},
};

/// Time between two cordoned zones, or two zones with a slow return, in milliseconds.
const GAP_MS: Range<u64> = 500..3000;

/// How much longer than the setting `evacuate` a zone stays cordoned, in milliseconds.
const EXTRA_CORDONED_MS: Range<u64> = 500..3000;

/// How long replicas are unreachable before a slow return, in milliseconds.
const AWAY_MS: Range<u64> = 200..2500;

/// Time between two rounds of replaced routers, in milliseconds.
const ROUND_GAP_MS: Range<u64> = 500..3000;

/// Time between two losses of the store, in milliseconds.
const LOSS_GAP_MS: Range<u64> = 3000..12_000;

/// For how long the store is away before it returns from a copy, in milliseconds.
const STORE_AWAY_MS: Range<u64> = 100..1500;

/// Age of the copy, in milliseconds.
const COPY_AGE_MS: Range<u64> = 500..6000;

/// Combined with the seed, so that these draws are independent of the other faults.
const CORDON_SEED: u64 = 0xc0_4d_01;
const SLOW_RETURN_SEED: u64 = 0x51_0e_57;
const BUILD_SEED: u64 = 0xb0_11_d5;
const LOSS_SEED: u64 = 0x10_55_e5;

/// Draws zones that are cordoned and uncordoned; the same seed gives the same zones.
pub fn cordons(
    seed: u64,
    length: Duration,
    fleet: &SoakFleet,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ CORDON_SEED);
    let zones = fleet.zones;
    let min_length = fleet.evacuate;
    series_without_overlap(&mut random, GAP_MS, length, |random| {
        let extra = Duration::from_millis(random.random_range(EXTRA_CORDONED_MS));
        let zone = random.random_range(0..zones);
        (min_length + extra, Fault::EmptyZone(zone))
    })
}

/// Draws zones whose replicas become unreachable for a while and return with a slow start, all
/// at once.
pub fn slow_returns(
    seed: u64,
    length: Duration,
    fleet: &SoakFleet,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ SLOW_RETURN_SEED);
    let zones = fleet.zones;
    series(&mut random, GAP_MS, length, |random| {
        let away = Duration::from_millis(random.random_range(AWAY_MS));
        (away, Fault::SlowReturn(random.random_range(0..zones)))
    })
}

/// Draws returns of the store from a copy, one after the other.
pub fn store_losses(
    seed: u64,
    length: Duration,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ LOSS_SEED);
    series_without_overlap(&mut random, LOSS_GAP_MS, length, |random| {
        let lasts = Duration::from_millis(random.random_range(STORE_AWAY_MS));
        let fault = Fault::StoreFromCopy {
            age_ms: random.random_range(COPY_AGE_MS),
            is_outgrown: random.random_bool(0.3),
        };
        (lasts, fault)
    })
}

/// Draws rounds in which all routers are replaced in turn by the other build, and back.
pub fn replaced_builds(
    seed: u64,
    length: Duration,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ BUILD_SEED);
    series(&mut random, ROUND_GAP_MS, length, |_| {
        (Duration::ZERO, Fault::ReplaceBuilds)
    })
}

/// Like [`series`], but each fault begins after the previous one is over.
fn series_without_overlap(
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
