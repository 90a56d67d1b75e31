//! Accounts that each request far more than their share, at routers that report to each other what
//! they allocated: in no six seconds does one account get less than half of what another gets.

mod simulated_routers;

use {
    simulated_routers::{
        Demand, FleetSize, allocated_by_second, demand, shipped_window, worst_ratio,
    },
    std::time::Duration,
};

/// Tokens per millisecond of all replicas together.
const CAPACITY: f32 = 40.0;

/// Thirty routers of one zone that have enough processor time.
const ONE_ZONE: FleetSize = FleetSize {
    routers: 30,
    zones: 1,
    short_routers: 0,
    requests_per_period: 0,
};

/// An account that starts sending requests gets the share of a whole window besides its rate, while
/// the others may get nothing.
#[test]
fn the_window_of_shares_is_at_most_a_third_of_the_six_seconds_compared() {
    assert!(shipped_window() * 3 <= Duration::from_secs(6));
}

#[test]
fn an_account_known_to_few_routers_gets_half_of_another_or_more() {
    let few = demand("few", 0..2, 250, 9000.0, 0..20_000);
    let many = demand("many", 2..10, 7, 200.0, 0..20_000);
    let allocated = allocated_by_second(ONE_ZONE, CAPACITY, &[few, many], 20, |_| CAPACITY);
    let ratio = worst_ratio(&allocated, "few", "many", 14..20);
    assert!(ratio >= 0.5, "{ratio}");
}

#[test]
fn an_account_known_to_many_routers_gets_half_of_another_or_more() {
    let few = demand("few", 0..2, 2, 200.0, 0..20_000);
    let many = demand("many", 2..30, 2500, 9000.0, 0..20_000);
    let allocated = allocated_by_second(ONE_ZONE, CAPACITY, &[few, many], 20, |_| CAPACITY);
    let ratio = worst_ratio(&allocated, "many", "few", 14..20);
    assert!(ratio >= 0.5, "{ratio}");
}

/// Three accounts send requests from the start, eight more from 10 s on, when a third of the
/// replicas is lost.
#[test]
fn an_account_that_had_a_larger_share_is_not_refused_for_long_when_shares_shrink() {
    let early = (0..3).map(|n| demand(&format!("early {n}"), 0..10, 20, 200.0, 0..24_000));
    let late = (0..8).map(|n| demand(&format!("late {n}"), 10..30, 20, 200.0, 10_000..24_000));
    let demands: Vec<Demand> = early.chain(late).collect();
    let allocated = allocated_by_second(ONE_ZONE, CAPACITY, &demands, 24, |ms| match ms {
        0..10_000 => CAPACITY,
        _ => CAPACITY * 2.0 / 3.0,
    });
    for early in 0..3 {
        for late in 0..8 {
            let (early, late) = (format!("early {early}"), format!("late {late}"));
            let ratio = worst_ratio(&allocated, &early, &late, 10..24);
            assert!(ratio >= 0.5, "{ratio} of what {late} got");
            let ratio = worst_ratio(&allocated, &late, &early, 10..24);
            assert!(ratio >= 0.5, "{late}: {ratio} of what {early} got");
        }
    }
}

/// The replicas process a third of the declared capacity; one account requests 150 times as much as
/// each of four others, which request three times their share.
#[test]
fn an_account_keeps_its_share_beside_a_heavier_one_when_replicas_make_less_than_declared() {
    let hot = demand("hot", 0..30, 5, 200.0, 0..24_000);
    let few = (0..4).map(|n| demand(&format!("few {n}"), 4 * n..4 * n + 4, 100, 200.0, 0..24_000));
    let demands: Vec<Demand> = few.chain([hot]).collect();
    let actual_capacity = CAPACITY / 3.0;
    let allocated = allocated_by_second(ONE_ZONE, CAPACITY, &demands, 24, |_| actual_capacity);
    for few in 0..4 {
        let ratio = worst_ratio(&allocated, &format!("few {few}"), "hot", 6..24);
        assert!(ratio >= 0.5, "few {few}: {ratio}");
    }
}
