//! A process that stood still does not go by what it knew before until it is confirmed.

use {archmast::policy::SuspensionGuard, std::time::Duration};

const LIMIT: Duration = Duration::from_millis(1500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// One that stood still for five seconds and woke up at 10 s.
fn woken() -> SuspensionGuard {
    let mut standstill = SuspensionGuard::new(LIMIT, ms(0));
    for step in 1..=250 {
        assert_eq!(standstill.check(ms(step * 20)), None);
    }
    assert_eq!(standstill.check(ms(10_000)), Some(ms(5000)));
    standstill
}

#[test]
fn it_is_noticed_once_and_lasts_until_it_is_confirmed() {
    let mut standstill = woken();
    assert_eq!(standstill.check(ms(10_020)), None);
    assert!(standstill.is_unconfirmed(ms(10_020)));
    standstill.confirm(ms(10_100));
    assert!(!standstill.is_unconfirmed(ms(10_100)));
}

#[test]
fn what_may_have_waited_since_before_confirms_nothing() {
    let mut standstill = woken();
    standstill.confirm(ms(10_010));
    assert!(standstill.is_unconfirmed(ms(10_020)));
}

#[test]
fn alone_it_goes_on_after_a_second() {
    let standstill = woken();
    assert!(standstill.is_unconfirmed(ms(10_999)));
    assert!(!standstill.is_unconfirmed(ms(11_000)));
}

#[test]
fn shorter_gaps_are_let_pass() {
    let mut standstill = SuspensionGuard::new(LIMIT, ms(0));
    assert_eq!(standstill.check(ms(1500)), None);
    assert!(!standstill.is_unconfirmed(ms(1500)));
}
