//! When a router that is short of processor time pauses, so that callers use other routers; and how
//! the shortage is measured.

use {
    archmast::policy::{BusyGauge, LagGauge, OverloadPause},
    std::time::Duration,
};

const STEP: Duration = Duration::from_millis(20);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Steps until `observe` returns `paused`. Returns that moment.
fn step_until(
    pause: &mut OverloadPause,
    mut now: Duration,
    is_short: bool,
    paused: bool,
) -> Duration {
    for _ in 0..100_000 {
        if pause.observe(now, STEP, is_short) == paused {
            return now;
        }
        now += STEP;
    }
    panic!("`observe` never returned {paused}");
}

#[test]
fn a_short_burst_causes_no_pause() {
    let mut pause = OverloadPause::default();
    let mut now = ms(0);
    for step in 0..1000 {
        now += STEP;
        // 300 ms of every 2 s.
        assert!(!pause.observe(now, STEP, step % 100 < 15));
    }
}

#[test]
fn lasting_shortage_pauses_the_router_longer_each_time() {
    let mut pause = OverloadPause::default();
    let started = step_until(&mut pause, ms(0), true, true);
    assert!(started < ms(600), "{started:?}");
    let resumed = step_until(&mut pause, started, false, false);
    let first = resumed - started;
    let started_again = step_until(&mut pause, resumed, true, true);
    let resumed_again = step_until(&mut pause, started_again, false, false);
    assert!(
        resumed_again - started_again > first,
        "{:?} after {first:?}",
        resumed_again - started_again
    );
}

#[test]
fn after_a_long_calm_the_pause_is_short_again() {
    let mut pause = OverloadPause::default();
    let started = step_until(&mut pause, ms(0), true, true);
    let resumed = step_until(&mut pause, started, false, false);
    let first = resumed - started;
    let after_calm = resumed + ms(60_000);
    let started_again = step_until(&mut pause, after_calm, true, true);
    let resumed_again = step_until(&mut pause, started_again, false, false);
    assert_eq!(resumed_again - started_again, first);
}

#[test]
fn the_busy_share_follows_the_work_within_a_second_and_forgets_it() {
    let mut gauge = BusyGauge::new(ms(500));
    let mut worked = ms(0);
    let mut steps = |count: u32, work: Duration| {
        for _ in 0..count {
            worked += work;
            gauge.sample(STEP, worked);
        }
        gauge.share()
    };
    assert!((steps(50, ms(16)) - 0.8).abs() < 0.15);
    assert!((steps(100, ms(16)) - 0.8).abs() < 0.02);
    assert!(steps(50, ms(0)) < 0.15);
}

#[test]
fn a_process_that_was_suspended_is_not_taken_as_busy() {
    let mut gauge = BusyGauge::new(ms(500));
    gauge.sample(STEP, ms(2));
    gauge.sample(ms(3000), ms(4));
    assert!(gauge.share() < 0.01, "{}", gauge.share());
    gauge.sample(ms(0), ms(4));
    assert!(gauge.share() < 0.01);
}

#[test]
fn lag_rises_with_the_second_late_timer_and_falls_slowly() {
    let mut gauge = LagGauge::default();
    gauge.sample(Duration::from_millis(400));
    assert_eq!(gauge.lag(), Duration::ZERO, "a single late timer");
    gauge.sample(Duration::from_millis(500));
    assert_eq!(gauge.lag(), Duration::from_millis(400));
    gauge.sample(Duration::ZERO);
    assert!(gauge.lag() > Duration::from_millis(200));
    for _ in 0..20 {
        gauge.sample(Duration::ZERO);
    }
    assert!(gauge.lag() < Duration::from_millis(5));
}

#[test]
fn a_process_that_stood_still_lags_at_once() {
    let mut gauge = LagGauge::default();
    gauge.sample(Duration::from_secs(4));
    assert_eq!(gauge.lag(), Duration::from_secs(4));
}
