//! The idle time-out of callers' connections while it changes.

use {
    archmast::{direct::IdleLimit, policy::Moment},
    proptest::prelude::*,
    std::time::Duration,
};

const NOTICE: Duration = Duration::from_secs(2);

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn a_longer_timeout_is_followed_until_it_has_passed_since_callers_know() {
    let limit = IdleLimit::default();
    assert_eq!(limit.longest(at(0)), None);
    limit.set(at(0), seconds(15), NOTICE);
    limit.set(at(1_000), seconds(1), NOTICE);
    assert_eq!(limit.longest(at(17_999)), Some(seconds(15)));
    assert_eq!(limit.longest(at(18_000)), Some(seconds(1)));
}

#[test]
fn a_longer_timeout_counts_at_once() {
    let limit = IdleLimit::default();
    limit.set(at(0), seconds(1), NOTICE);
    limit.set(at(0), seconds(15), NOTICE);
    assert_eq!(limit.longest(at(0)), Some(seconds(15)));
}

#[test]
fn a_very_long_former_timeout_is_followed_for_a_minute() {
    let limit = IdleLimit::default();
    limit.set(at(0), seconds(3_600), NOTICE);
    limit.set(at(0), seconds(1), NOTICE);
    assert_eq!(limit.longest(at(61_999)), Some(seconds(3_600)));
    assert_eq!(limit.longest(at(62_000)), Some(seconds(1)));
}

proptest! {
    /// Whatever is set, each former time-out is followed for as long as a caller may know no other.
    #[test]
    fn no_former_timeout_is_forgotten_early(
        changes in prop::collection::vec((0_u64..3_000, 1_u64..20), 1..20),
        ahead in 0_u64..25_000,
    ) {
        let limit = IdleLimit::default();
        let mut now = 0;
        let mut in_force: Vec<(u64, u64, Duration)> = Vec::new(); // from, until, time-out
        for (pause, timeout) in changes {
            now += pause;
            if let Some(last) = in_force.last_mut() {
                last.1 = now;
            }
            in_force.push((now, u64::MAX, seconds(timeout)));
            limit.set(at(now), seconds(timeout), NOTICE);
        }
        let then = now + ahead;
        let followed = in_force.iter().filter(|(_, until, timeout)| {
            let end = until.saturating_add((NOTICE + *timeout).as_millis() as u64);
            end > then
        });
        let longest = followed.map(|(_, _, timeout)| *timeout).max();
        prop_assert_eq!(limit.longest(at(then)), longest);
    }
}
