//! Series of configuration versions in quick succession, in addition to the other faults.

use {
    super::{config_change::ConfigChange, fault::Fault, schedule::PlannedFault},
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::{
        ops::{Range, RangeInclusive},
        time::Duration,
    },
};

/// Time from the last version of a series to the first of the next, in milliseconds.
const SERIES_GAP_MS: Range<u64> = 300..2500;

/// Versions in one series.
const SERIES_LENGTH: RangeInclusive<usize> = 4..=12;

/// Time between two versions of a series, in milliseconds.
const STEP_MS: RangeInclusive<u64> = 250..=600;

/// Time-outs of routes, in milliseconds. All are above the deadline of callers.
const TIMEOUTS_MS: [u32; 3] = [6000, 10_000, 15_000];

/// Idle time-outs of callers' connections, in milliseconds. All are above the pauses of callers
/// between two requests.
const IDLE_TIMEOUTS_MS: [u32; 4] = [1000, 2500, 5000, 15_000];

/// Connections that routers may open to a replica.
const CONNECTIONS: [usize; 3] = [40, 100, 200];

/// Combined with the seed, so that these draws are independent of the other faults.
const CONFIG_SEED: u64 = 0xc0_4f_5e;

/// Draws series of configuration versions; the same seed gives the same series.
pub fn config_series(
    seed: u64,
    length: Duration,
) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ CONFIG_SEED);
    let mut planned = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let mut wait_ms = random.random_range(SERIES_GAP_MS);
        for _ in 0..random.random_range(SERIES_LENGTH) {
            let after = Duration::from_millis(wait_ms);
            at += after;
            if at >= length {
                return planned;
            }
            planned.push(PlannedFault {
                after,
                lasts: Duration::ZERO,
                fault: Fault::ChangeConfig(draw_change(&mut random)),
            });
            wait_ms = random.random_range(STEP_MS);
        }
    }
}

fn draw_change(random: &mut StdRng) -> ConfigChange {
    match random.random_range(0..5) {
        0 => ConfigChange::Routes,
        1 => {
            let plain = random.random_range(0..4);
            let events = random.random_range(if plain == 0 { 1 } else { 0 }..4);
            ConfigChange::Weights { plain, events }
        }
        2 => ConfigChange::Connections(*CONNECTIONS.choose(random).expect("not empty")),
        3 => {
            let ms = *TIMEOUTS_MS.choose(random).expect("not empty");
            ConfigChange::Timeout { ms }
        }
        _ => {
            let ms = *IDLE_TIMEOUTS_MS.choose(random).expect("not empty");
            ConfigChange::IdleTimeout { ms: ms.into() }
        }
    }
}
