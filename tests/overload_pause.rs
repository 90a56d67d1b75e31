//! When a router whose processor is short lets callers go elsewhere.

use {archmast::policy::OverloadPause, std::time::Duration};

const STEP: Duration = Duration::from_millis(20);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Steps until the answer is `paused`; gives the moment.
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
    panic!("never {paused}");
}

#[test]
fn a_short_burst_is_served() {
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
    let began = step_until(&mut pause, ms(0), true, true);
    assert!(began < ms(600), "{began:?}");
    let ended = step_until(&mut pause, began, false, false);
    let first = ended - began;
    let again = step_until(&mut pause, ended, true, true);
    let over = step_until(&mut pause, again, false, false);
    assert!(over - again > first, "{:?} after {first:?}", over - again);
}

#[test]
fn after_a_long_calm_the_pause_is_short_again() {
    let mut pause = OverloadPause::default();
    let began = step_until(&mut pause, ms(0), true, true);
    let ended = step_until(&mut pause, began, false, false);
    let first = ended - began;
    let later = ended + ms(60_000);
    let again = step_until(&mut pause, later, true, true);
    let over = step_until(&mut pause, again, false, false);
    assert_eq!(over - again, first);
}
