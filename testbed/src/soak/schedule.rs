use {
    super::fault::Fault,
    crate::direct::StoreMode,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{ops::Range, time::Duration},
};

/// Time between the starts of two faults, in milliseconds.
const FAULT_GAP_MS: Range<u64> = 300..2500;

/// Duration of a fault, in milliseconds.
const FAULT_LENGTH_MS: Range<u64> = 100..2500;

/// Time between two silences, in milliseconds.
const SILENCE_GAP_MS: Range<u64> = 500..6000;

/// Combined with the seed, so that silences are drawn independently of the other faults.
const SILENCE_SEED: u64 = 0x51_1e_ce;

/// A fault to be injected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    pub after: Duration, // since the start of the previous fault
    pub lasts: Duration,
    pub fault: Fault,
}

/// Draws the faults of a run; the same seed gives the same faults.
pub fn schedule(
    seed: u64,
    length: Duration,
    routers: usize,
    replicas: usize,
) -> Vec<PlannedFault> {
    let random = StdRng::seed_from_u64(seed);
    draw_faults(random, FAULT_GAP_MS, length, |random| {
        let lasts = Duration::from_millis(random.random_range(FAULT_LENGTH_MS));
        (lasts, draw_fault(random, routers, replicas))
    })
}

/// Draws the connections that fall silent in a run, in addition to the other faults. They use
/// random numbers of their own, so that they do not change the other faults of a seed.
pub fn silences(
    seed: u64,
    length: Duration,
    routers: usize,
    replicas: usize,
) -> Vec<PlannedFault> {
    let random = StdRng::seed_from_u64(seed ^ SILENCE_SEED);
    draw_faults(random, SILENCE_GAP_MS, length, |random| {
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

/// Draws for each fault its delay after the previous one, then its duration and the fault,
/// until `length` is reached.
pub(super) fn draw_faults(
    mut random: StdRng,
    gap_ms: Range<u64>,
    length: Duration,
    mut draw_fault: impl FnMut(&mut StdRng) -> (Duration, Fault),
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let after = Duration::from_millis(random.random_range(gap_ms.clone()));
        at += after;
        if at >= length {
            return faults;
        }
        let (lasts, fault) = draw_fault(&mut random);
        faults.push(PlannedFault {
            after,
            lasts,
            fault,
        });
    }
}

fn draw_fault(
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
