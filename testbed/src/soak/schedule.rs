use {
    super::fault::Fault,
    crate::direct::StoreMode,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{ops::Range, time::Duration},
};

/// Between the beginnings of two faults, in milliseconds.
const GAP_MS: Range<u64> = 300..2500;

/// How long a fault lasts, in milliseconds.
const LENGTH_MS: Range<u64> = 100..2500;

/// Between two silences, in milliseconds.
const SILENCE_GAP_MS: Range<u64> = 500..6000;

/// Sets the draw of silences apart from that of the other faults.
const SILENCES: u64 = 0x51_1e_ce;

/// A fault that is to come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    pub after: Duration, // since the beginning of the one before
    pub lasts: Duration,
    pub fault: Fault,
}

/// The faults of a run, the same for the same seed.
pub fn schedule(
    seed: u64,
    length: Duration,
    routers: usize,
    replicas: usize,
) -> Vec<PlannedFault> {
    let random = StdRng::seed_from_u64(seed);
    planned(random, GAP_MS, length, |random| {
        let lasts = Duration::from_millis(random.random_range(LENGTH_MS));
        (lasts, draw(random, routers, replicas))
    })
}

/// Silences that come beside the other faults, the same for the same seed. They are
/// drawn apart, so that a seed's other faults stay what they were.
pub fn silences(
    seed: u64,
    length: Duration,
    routers: usize,
    replicas: usize,
) -> Vec<PlannedFault> {
    let random = StdRng::seed_from_u64(seed ^ SILENCES);
    planned(random, SILENCE_GAP_MS, length, |random| {
        let router = random.random_range(0..routers);
        let fault = match random.random_range(0..5) {
            0 => Fault::SilenceStore(router),
            1 | 2 => Fault::SilenceAllStores,
            3 => Fault::SilenceReplica(random.random_range(0..replicas)),
            _ => Fault::SilenceCallers(router),
        };
        (Duration::ZERO, fault)
    })
}

/// Draws how long after the one before a fault begins, then the fault and how long it
/// lasts, until `length` is over.
pub(super) fn planned(
    mut random: StdRng,
    gap_ms: Range<u64>,
    length: Duration,
    mut draw: impl FnMut(&mut StdRng) -> (Duration, Fault),
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let after = Duration::from_millis(random.random_range(gap_ms.clone()));
        at += after;
        if at >= length {
            return faults;
        }
        let (lasts, fault) = draw(&mut random);
        faults.push(PlannedFault {
            after,
            lasts,
            fault,
        });
    }
}

fn draw(
    random: &mut StdRng,
    routers: usize,
    replicas: usize,
) -> Fault {
    let router = random.random_range(0..routers);
    let replica = random.random_range(0..replicas);
    let mode = match random.random_range(0..3) {
        0 => StoreMode::Busy,
        1 => StoreMode::Many,
        _ => StoreMode::Silent,
    };
    match random.random_range(0..19) {
        0 => Fault::KillRouter(router),
        1 => Fault::KillAllRouters,
        2 | 3 => Fault::StopRouter(router),
        4 => Fault::FreezeRouter(router),
        5 => Fault::HangUpRouter(router),
        6 => Fault::StoreTrouble(router, mode),
        7 => Fault::StoreDown(mode),
        8 => Fault::ForgetHistory,
        9 | 10 => Fault::Publish,
        11 | 12 => Fault::DrainReplica(replica),
        13 => Fault::CrashReplica(replica),
        14 => Fault::SlowLink(replica),
        15..=17 => Fault::SpoilAnswers(replica),
        _ if random.random_bool(0.5) => Fault::CutLink(replica),
        _ => Fault::ResetLink(replica),
    }
}
