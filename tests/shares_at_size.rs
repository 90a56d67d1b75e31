//! A hundred routers in five zones, some of them short of processor time, and accounts that request
//! far more than their share from the first moment on: in no six seconds does one get less than half
//! of what another gets.

mod simulated_routers;

use simulated_routers::{Demand, FleetSize, allocated_by_second, demand, worst_ratio};

/// The fleet of the largest deployment; four routers are short of processor time.
const SIZE: FleetSize = FleetSize {
    routers: 105,
    zones: 5,
    short_routers: 4,
    requests_per_period: 20,
};

/// Tokens per millisecond of all replicas together.
const CAPACITY: f32 = 1600.0;

const SECONDS: usize = 24;
const TOKENS: f32 = 4000.0;

/// Accounts that request some three times their share all the time: some at routers that are short
/// of processor time only, the others at many.
fn early() -> Vec<Demand> {
    let short = (0..2).map(|n| demand(&format!("short {n}"), 2 * n..2 * n + 2, 4, TOKENS, ALWAYS));
    let spread = (0..4).map(|n| {
        demand(
            &format!("spread {n}"),
            4 + 25 * n..29 + 25 * n,
            50,
            TOKENS,
            ALWAYS,
        )
    });
    short.chain(spread).collect()
}

const ALWAYS: std::ops::Range<usize> = 0..SECONDS * 1000;

fn names() -> Vec<String> {
    let short = (0..2).map(|n| format!("short {n}"));
    short.chain((0..4).map(|n| format!("spread {n}"))).collect()
}

/// Asserts that each account gets half of what each other gets, or more, in all six seconds.
fn assert_shares(
    size: FleetSize,
    demands: &[Demand],
    capacity: impl Fn(usize) -> f32,
) {
    let allocated = allocated_by_second(size, CAPACITY, demands, SECONDS, capacity);
    for account in names() {
        for other in names() {
            let ratio = worst_ratio(&allocated, &account, &other, 0..SECONDS);
            assert!(ratio >= 0.5, "{account}: {ratio} of what {other} got");
        }
    }
}

#[test]
fn accounts_at_routers_short_of_processor_get_half_of_others_from_the_first_second_on() {
    assert_shares(SIZE, &early(), |_| CAPACITY);
}

/// As many tokens again are requested from the ninth second on.
fn rising() -> Vec<Demand> {
    let late = (0..6).map(|n| {
        demand(
            &format!("late {n}"),
            4 + n..64 + n,
            120,
            TOKENS,
            9000..18_000,
        )
    });
    early().into_iter().chain(late).collect()
}

/// A third of the replicas is lost in two steps and comes back.
fn capacity_with_losses(ms: usize) -> f32 {
    match ms {
        8000..11_000 => CAPACITY * 0.8,
        11_000..16_000 => CAPACITY * 0.6,
        _ => CAPACITY,
    }
}

#[test]
fn accounts_at_routers_short_of_processor_get_half_of_others_as_replicas_are_lost() {
    assert_shares(SIZE, &rising(), capacity_with_losses);
}

#[test]
fn accounts_get_half_of_others_as_replicas_are_lost() {
    let size = FleetSize {
        short_routers: 0,
        ..SIZE
    };
    assert_shares(size, &rising(), capacity_with_losses);
}
