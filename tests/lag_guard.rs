//! Which requests a router refuses that is short of processor time.

use {
    archmast::policy::{MAX_LAG, admits_despite_lag},
    std::time::Duration,
};

/// What the best served account and one that is served nothing get, as parts of the former.
const BEST: f32 = 1.0;
const NOTHING: f32 = 0.0;

#[test]
fn a_router_that_does_not_lag_refuses_nobody() {
    assert!(admits_despite_lag(Duration::ZERO, BEST));
    assert!(admits_despite_lag(MAX_LAG, BEST));
}

#[test]
fn a_router_that_lags_refuses_the_best_served_account_first() {
    assert!(!admits_despite_lag(MAX_LAG * 2, BEST));
    assert!(!admits_despite_lag(MAX_LAG * 2, 0.6));
    assert!(admits_despite_lag(MAX_LAG * 2, NOTHING));
}

#[test]
fn an_account_below_half_of_the_best_served_one_is_not_refused_for_lag() {
    for times in 1..8 {
        assert!(admits_despite_lag(MAX_LAG * times, 0.49), "{times}");
    }
}

#[test]
fn a_router_that_lags_for_longer_than_callers_wait_refuses_everybody() {
    assert!(!admits_despite_lag(Duration::from_secs(1), NOTHING));
}
