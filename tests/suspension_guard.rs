//! A process that was suspended does not rely on its earlier state until that is confirmed.

use {archmast::policy::SuspensionGuard, std::time::Duration};

const LIMIT: Duration = Duration::from_millis(1500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The guard of a process that was suspended for five seconds and resumed at 10 s.
fn resumed() -> SuspensionGuard {
    let mut guard = SuspensionGuard::new(LIMIT, ms(0));
    for step in 1..=250 {
        assert_eq!(guard.check(ms(step * 20)), None);
    }
    assert_eq!(guard.check(ms(10_000)), Some(ms(5000)));
    guard
}

#[test]
fn a_suspension_is_reported_once_and_lasts_until_it_is_confirmed() {
    let mut guard = resumed();
    assert_eq!(guard.check(ms(10_020)), None);
    assert!(guard.is_unconfirmed(ms(10_020)));
    guard.confirm(ms(10_100));
    assert!(!guard.is_unconfirmed(ms(10_100)));
}

#[test]
fn data_that_may_have_waited_during_the_suspension_confirms_nothing() {
    let mut guard = resumed();
    guard.confirm(ms(10_010));
    assert!(guard.is_unconfirmed(ms(10_020)));
}

#[test]
fn without_any_confirmation_the_process_goes_on_after_a_second() {
    let guard = resumed();
    assert!(guard.is_unconfirmed(ms(10_999)));
    assert!(!guard.is_unconfirmed(ms(11_000)));
}

#[test]
fn shorter_gaps_are_no_suspension() {
    let mut guard = SuspensionGuard::new(LIMIT, ms(0));
    assert_eq!(guard.check(ms(1500)), None);
    assert!(!guard.is_unconfirmed(ms(1500)));
}
