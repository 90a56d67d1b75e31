//! Requests during which replicas crashed: what counts against one and what clears it, how long it
//! is held back, and that reports of routers give the same result in any order.

use {
    archmast::policy::{
        Moment, ReporterScope,
        suspects::{
            CrashReport, CrashedAttempt, SuspectDigest, SuspectReport, SuspectTracker, Verdict,
        },
    },
    proptest::prelude::*,
    std::{collections::BTreeSet, time::Duration},
};

const REQUEST: SuspectDigest = SuspectDigest(7);
const ACCOUNT: u32 = 3;

/// Long after any answer.
const NOW: Moment = Moment::from_secs(7200);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An attempt from `started_ms` to the crash of its replica, without any event.
fn attempt(
    key: u32,
    started_ms: u64,
    crashed_ms: u64,
) -> CrashedAttempt {
    CrashedAttempt::observed(key, key, ms(started_ms), None, ms(crashed_ms))
}

/// A tracker with these attempts at the request, each with the crash of its replica.
fn tracker(attempts: &[(u64, u64)]) -> SuspectTracker {
    let mut tracker = SuspectTracker::default();
    for (key, (started_ms, crashed_ms)) in (0..).zip(attempts) {
        tracker.record_crash(
            NOW,
            REQUEST,
            ACCOUNT,
            attempt(key, *started_ms, *crashed_ms),
        );
    }
    tracker
}

/// The remaining time of a request's hold at a router that is alone; `None` if it is let through.
fn remaining(
    tracker: &mut SuspectTracker,
    now: Moment,
    request: SuspectDigest,
) -> Option<Duration> {
    match tracker.check(now, &[request], true, 1) {
        Verdict::Free | Verdict::Claimed(_) => None,
        Verdict::Held(time) => Some(time),
    }
}

fn is_held(
    tracker: &SuspectTracker,
    now: Moment,
) -> bool {
    tracker.held(now).iter().any(|held| held.digest == REQUEST)
}

#[test]
fn one_crash_holds_nothing_back_and_a_second_one_does() {
    let mut one = tracker(&[(0, 500)]);
    assert_eq!(remaining(&mut one, ms(600), REQUEST), None);
    let mut two = tracker(&[(0, 500), (600, 900)]);
    assert_eq!(remaining(&mut two, ms(1000), REQUEST), Some(ms(14_900)));
    assert_eq!(remaining(&mut two, ms(1000), SuspectDigest(8)), None);
}

#[test]
fn replicas_that_crash_together_under_copies_of_one_request_count_once() {
    let together: Vec<(u64, u64)> = (0..6).map(|copy| (copy * 10, 1000 + copy)).collect();
    assert!(!is_held(&tracker(&together), ms(1100)));
    let staggered: Vec<(u64, u64)> = (0..6).map(|copy| (0, 1000 + copy * 200)).collect();
    assert!(!is_held(&tracker(&staggered), ms(2100)));
}

#[test]
fn one_replica_that_ends_under_several_copies_counts_once() {
    let mut tracker = SuspectTracker::default();
    for (key, started_ms) in [(1, 998), (2, 999), (3, 1001)] {
        let crash = CrashedAttempt::observed(key, 7, ms(started_ms), None, ms(started_ms + 2));
        tracker.record_crash(NOW, REQUEST, ACCOUNT, crash);
    }
    assert!(!is_held(&tracker, ms(1100)));
    let later = CrashedAttempt::observed(4, 7, ms(2500), None, ms(2600));
    tracker.record_crash(NOW, REQUEST, ACCOUNT, later);
    assert!(
        is_held(&tracker, ms(2600)),
        "it restarted, and crashed again"
    );
}

#[test]
fn attempts_that_had_sent_events_for_long_count_half() {
    let mut tracker = SuspectTracker::default();
    for key in 0..4u32 {
        let started_ms = u64::from(key) * 3000;
        let crash = CrashedAttempt::observed(
            key,
            key,
            ms(started_ms),
            Some(ms(started_ms + 100)),
            ms(started_ms + 2000),
        );
        assert!(!is_held(&tracker, ms(started_ms)));
        tracker.record_crash(NOW, REQUEST, ACCOUNT, crash);
    }
    assert!(is_held(&tracker, ms(11_100)));
}

#[test]
fn a_complete_answer_clears_the_request_until_more_replicas_crash_long_after() {
    let mut tracker = tracker(&[(0, 500), (600, 900)]);
    assert!(tracker.record_answered(ms(1000), REQUEST));
    assert!(!is_held(&tracker, ms(1000)));
    for (key, at) in [(10, 1500), (11, 2500), (12, 61_500)] {
        let crash = attempt(key, at, at + 500);
        tracker.record_crash(ms(at + 500), REQUEST, ACCOUNT, crash);
        assert!(!is_held(&tracker, ms(at + 500)));
    }
    tracker.record_crash(ms(63_000), REQUEST, ACCOUNT, attempt(13, 62_500, 63_000));
    assert!(is_held(&tracker, ms(63_000)));
}

#[test]
fn a_recently_answered_request_is_held_back_by_no_router() {
    let mut tracker = SuspectTracker::default();
    tracker.record_answered(ms(100), REQUEST);
    tracker.record_crash(ms(500), REQUEST, ACCOUNT, attempt(1, 200, 500));
    tracker.record_crash(ms(900), REQUEST, ACCOUNT, attempt(2, 600, 900));
    assert!(!is_held(&tracker, ms(900)));
    let mut other = SuspectTracker::default();
    let reports = tracker.reports_for(ms(900), &[REQUEST]);
    other.apply_reports(ms(900), ReporterScope::Router, &reports);
    assert!(!is_held(&other, ms(900)));
}

#[test]
fn after_the_hold_one_attempt_is_let_through_and_the_next_crash_holds_for_longer() {
    let mut tracker = tracker(&[(0, 500), (600, 900)]);
    assert_eq!(remaining(&mut tracker, ms(15_900), REQUEST), None);
    let others = remaining(&mut tracker, ms(15_950), REQUEST);
    assert_eq!(
        others,
        Some(ms(9950)),
        "they wait for the attempt that was let through"
    );
    tracker.record_crash(NOW, REQUEST, ACCOUNT, attempt(10, 15_900, 16_200));
    assert_eq!(
        remaining(&mut tracker, ms(16_200), REQUEST),
        Some(ms(120_000))
    );
    tracker.record_crash(NOW, REQUEST, ACCOUNT, attempt(11, 139_000, 140_000));
    assert_eq!(
        remaining(&mut tracker, ms(140_000), REQUEST),
        Some(ms(600_000))
    );
}

#[test]
fn an_exempt_request_is_not_held_back() {
    let mut tracker = tracker(&[(0, 500), (600, 900)]);
    tracker.set_exempt(BTreeSet::from([REQUEST]));
    assert_eq!(remaining(&mut tracker, ms(1000), REQUEST), None);
    assert!(!is_held(&tracker, ms(1000)));
    tracker.set_exempt(BTreeSet::new());
    assert!(remaining(&mut tracker, ms(1000), REQUEST).is_some());
}

#[test]
fn an_account_with_many_requests_fills_its_own_part_only() {
    let mut tracker = tracker(&[(0, 500), (600, 900)]);
    for number in 0..20_000u64 {
        let now = 1000 + number;
        let request = SuspectDigest(1000 + number);
        tracker.record_crash(NOW, request, 99, attempt(number as u32, now - 100, now));
    }
    assert!(is_held(&tracker, ms(14_000)));
    let flood: Vec<SuspectDigest> = (1000..21_000).map(SuspectDigest).collect();
    let updates = tracker.reports_for(ms(21_000), &flood);
    assert!(updates.len() <= 512, "{} reports", updates.len());
}

#[test]
fn a_request_is_removed_after_its_time() {
    let mut tracker = tracker(&[(0, 500), (600, 900)]);
    let hour = 3_600_000;
    tracker.record_crash(NOW, SuspectDigest(8), ACCOUNT, attempt(10, hour - 10, hour));
    tracker.remove_expired(ms(hour));
    assert_eq!(tracker.reports_for(ms(hour), &[REQUEST]).len(), 1);
    let later = hour + 2000;
    tracker.record_crash(
        NOW,
        SuspectDigest(9),
        ACCOUNT,
        attempt(11, later - 10, later),
    );
    tracker.remove_expired(ms(later));
    assert_eq!(tracker.reports_for(ms(later), &[REQUEST]).len(), 0);
}

#[test]
fn crashes_before_a_routers_start_keep_their_order() {
    let reports = |attempts: &[(u64, u64)]| tracker(attempts).reports_for(ms(60_000), &[REQUEST]);
    let together: Vec<(u64, u64)> = (0..6).map(|copy| (copy * 10, 1000 + copy)).collect();
    let mut started = SuspectTracker::default();
    started.apply_reports(ms(5), ReporterScope::Router, &reports(&together));
    assert!(!is_held(&started, ms(5)));
    let mut started = SuspectTracker::default();
    let held = started.apply_reports(
        ms(5),
        ReporterScope::Router,
        &reports(&[(0, 50_500), (50_600, 50_900)]),
    );
    assert_eq!(held.len(), 1);
    assert_eq!(remaining(&mut started, ms(5), REQUEST), Some(ms(5900)));
}

#[test]
fn updates_are_sent_twice_and_held_requests_are_listed() {
    let mut tracker = tracker(&[(0, 500), (600, 900)]);
    for _ in 0..2 {
        assert_eq!(tracker.take_local_updates(ms(1000)).len(), 1);
        assert_eq!(tracker.take_zone_updates(ms(1000)).len(), 1);
    }
    assert_eq!(tracker.take_local_updates(ms(1000)).len(), 0);
    assert_eq!(tracker.with_hold(), &BTreeSet::from([REQUEST]));
    let reports = tracker.reports_for(ms(1000), &[REQUEST]);
    let mut other = SuspectTracker::default();
    assert_eq!(
        other
            .apply_reports(ms(9), ReporterScope::Router, &reports)
            .len(),
        1
    );
    assert_eq!(
        other.take_local_updates(ms(9)).len(),
        0,
        "the sender informs its own zone"
    );
    assert_eq!(other.take_zone_updates(ms(9)).len(), 1);
    assert_eq!(
        other
            .apply_reports(ms(10), ReporterScope::Router, &reports)
            .len(),
        0
    );
    let mut other_zone = SuspectTracker::default();
    other_zone.apply_reports(ms(9), ReporterScope::Zone, &reports);
    assert_eq!(other_zone.take_zone_updates(ms(9)).len(), 0);
}

#[test]
fn a_router_that_missed_a_clearing_answer_learns_of_it_when_it_sends_its_report() {
    let mut uninformed = tracker(&[(0, 500), (600, 900)]);
    let reports = uninformed.reports_for(ms(1000), &[REQUEST]);
    let mut other = SuspectTracker::default();
    other.apply_reports(ms(1000), ReporterScope::Router, &reports);
    other.record_answered(ms(1000), REQUEST);
    for _ in 0..2 {
        other.take_local_updates(ms(1100));
    }
    other.apply_reports(ms(2000), ReporterScope::Router, &reports);
    let updates = other.take_local_updates(ms(2000));
    uninformed.apply_reports(ms(2000), ReporterScope::Router, &updates);
    assert!(!is_held(&uninformed, ms(2000)));
}

fn suspect_reports() -> impl Strategy<Value = Vec<SuspectReport>> {
    let crash = (0..6u32, any::<bool>()).prop_map(|(key, is_cleared)| CrashReport {
        key,
        replica: key / 2,
        started_ago_ms: 10_000 - 1000 * key,
        crashed_ago_ms: 9500 - 1000 * key,
        is_strong: key % 3 > 0,
        is_cleared,
    });
    let report = prop::collection::vec(crash, 0..4).prop_map(|crashes| SuspectReport {
        digest: REQUEST,
        account: ACCOUNT,
        crashes,
    });
    prop::collection::vec(report, 0..8)
}

proptest! {
    /// Datagrams are lost, duplicated and reordered: routers that received the same reports know
    /// the same.
    #[test]
    fn reports_in_any_order_and_number_give_the_same_state(
        reports in suspect_reports(),
        order in any::<prop::sample::Index>(),
    ) {
        let now = ms(20_000);
        let mut one = SuspectTracker::default();
        for report in &reports {
            one.apply_reports(now, ReporterScope::Router, std::slice::from_ref(report));
        }
        let mut other = SuspectTracker::default();
        let offset = if reports.is_empty() { 0 } else { order.index(reports.len()) };
        let rotated = reports.iter().cycle().skip(offset).take(reports.len());
        for report in rotated.chain(reports.iter().rev()) {
            other.apply_reports(now, ReporterScope::Zone, std::slice::from_ref(report));
        }
        prop_assert_eq!(one.held(now), other.held(now));
        prop_assert_eq!(one.reports_for(now, &[REQUEST]), other.reports_for(now, &[REQUEST]));
    }
}
