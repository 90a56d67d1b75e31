//! Requests under which replicas ended: what speaks against one, what for it, how long it
//! is held back, and what routers make of each other's word on it, in any order.

use {
    archmast::policy::{
        Moment, ReporterScope,
        suspects::{CrashReport, CrashedAttempt, RequestDigest, SuspectReport, SuspectTracker},
    },
    proptest::prelude::*,
    std::{collections::BTreeSet, time::Duration},
};

const REQUEST: RequestDigest = RequestDigest(7);
const ACCOUNT: u32 = 3;

/// Long after any answer.
const NOW: Moment = Moment::from_secs(7200);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A run from `began` to the end of its replica, which brought no event.
fn run(
    key: u32,
    began: u64,
    ended: u64,
) -> CrashedAttempt {
    CrashedAttempt::observed(key, key, ms(began), None, ms(ended))
}

/// A book in which runs of the request ended with their replicas.
fn book(runs: &[(u64, u64)]) -> SuspectTracker {
    let mut book = SuspectTracker::default();
    for (key, (began, ended)) in (0..).zip(runs) {
        book.record_crash(NOW, REQUEST, ACCOUNT, run(key, *began, *ended));
    }
    book
}

fn is_held(
    book: &SuspectTracker,
    now: Moment,
) -> bool {
    book.held_requests(now)
        .iter()
        .any(|held| held.request == REQUEST)
}

#[test]
fn one_end_says_nothing_and_a_second_after_it_holds_the_request_back() {
    let mut one = book(&[(0, 500)]);
    assert_eq!(one.hold_remaining(ms(600), REQUEST), None);
    let mut two = book(&[(0, 500), (600, 900)]);
    assert_eq!(two.hold_remaining(ms(1000), REQUEST), Some(ms(14_900)));
    assert_eq!(two.hold_remaining(ms(1000), RequestDigest(8)), None);
}

#[test]
fn replicas_that_end_together_under_copies_of_one_request_say_no_more_than_one() {
    let together: Vec<(u64, u64)> = (0..6).map(|copy| (copy * 10, 1000 + copy)).collect();
    assert!(!is_held(&book(&together), ms(1100)));
    let rolling: Vec<(u64, u64)> = (0..6).map(|copy| (0, 1000 + copy * 200)).collect();
    assert!(!is_held(&book(&rolling), ms(2100)));
}

#[test]
fn one_replica_that_ends_under_several_copies_counts_once() {
    let mut book = SuspectTracker::default();
    for (key, began) in [(1, 998), (2, 999), (3, 1001)] {
        let end = CrashedAttempt::observed(key, 7, ms(began), None, ms(began + 2));
        book.record_crash(NOW, REQUEST, ACCOUNT, end);
    }
    assert!(!is_held(&book, ms(1100)));
    let later = CrashedAttempt::observed(4, 7, ms(2500), None, ms(2600));
    book.record_crash(NOW, REQUEST, ACCOUNT, later);
    assert!(is_held(&book, ms(2600)), "it came back, and ended again");
}

#[test]
fn runs_that_had_brought_events_for_long_count_half() {
    let mut book = SuspectTracker::default();
    for key in 0..4u32 {
        let began = u64::from(key) * 3000;
        let end =
            CrashedAttempt::observed(key, key, ms(began), Some(ms(began + 100)), ms(began + 2000));
        assert!(!is_held(&book, ms(began)));
        book.record_crash(NOW, REQUEST, ACCOUNT, end);
    }
    assert!(is_held(&book, ms(11_100)));
}

#[test]
fn a_whole_answer_speaks_for_the_request_until_more_replicas_end_long_after() {
    let mut book = book(&[(0, 500), (600, 900)]);
    assert!(book.record_answered(ms(1000), REQUEST));
    assert!(!is_held(&book, ms(1000)));
    for (key, at) in [(10, 1500), (11, 2500), (12, 61_500)] {
        let end = run(key, at, at + 500);
        book.record_crash(ms(at + 500), REQUEST, ACCOUNT, end);
        assert!(!is_held(&book, ms(at + 500)));
    }
    book.record_crash(ms(63_000), REQUEST, ACCOUNT, run(13, 62_500, 63_000));
    assert!(is_held(&book, ms(63_000)));
}

#[test]
fn a_request_that_was_answered_lately_is_held_back_by_nobody() {
    let mut book = SuspectTracker::default();
    book.record_answered(ms(100), REQUEST);
    book.record_crash(ms(500), REQUEST, ACCOUNT, run(1, 200, 500));
    book.record_crash(ms(900), REQUEST, ACCOUNT, run(2, 600, 900));
    assert!(!is_held(&book, ms(900)));
    let mut other = SuspectTracker::default();
    let notes = book.reports_for(ms(900), &[REQUEST]);
    other.apply_reports(ms(900), ReporterScope::Router, &notes);
    assert!(!is_held(&other, ms(900)));
}

#[test]
fn after_the_hold_one_try_goes_and_the_next_end_holds_for_longer() {
    let mut book = book(&[(0, 500), (600, 900)]);
    assert_eq!(book.hold_remaining(ms(15_900), REQUEST), None);
    let others = book.hold_remaining(ms(15_950), REQUEST);
    assert_eq!(
        others,
        Some(ms(9950)),
        "they wait for the one that was let through"
    );
    book.record_crash(NOW, REQUEST, ACCOUNT, run(10, 15_900, 16_200));
    assert_eq!(book.hold_remaining(ms(16_200), REQUEST), Some(ms(120_000)));
    book.record_crash(NOW, REQUEST, ACCOUNT, run(11, 139_000, 140_000));
    assert_eq!(book.hold_remaining(ms(140_000), REQUEST), Some(ms(600_000)));
}

#[test]
fn what_the_operator_lets_through_is_not_held_back() {
    let mut book = book(&[(0, 500), (600, 900)]);
    book.set_exempt(BTreeSet::from([REQUEST]));
    assert_eq!(book.hold_remaining(ms(1000), REQUEST), None);
    assert!(!is_held(&book, ms(1000)));
    book.set_exempt(BTreeSet::new());
    assert!(book.hold_remaining(ms(1000), REQUEST).is_some());
}

#[test]
fn an_account_that_changes_its_requests_fills_its_own_part_only() {
    let mut book = book(&[(0, 500), (600, 900)]);
    for number in 0..20_000u64 {
        let now = 1000 + number;
        let request = RequestDigest(1000 + number);
        book.record_crash(NOW, request, 99, run(number as u32, now - 100, now));
    }
    assert!(is_held(&book, ms(14_000)));
    let flood: Vec<RequestDigest> = (1000..21_000).map(RequestDigest).collect();
    let told = book.reports_for(ms(21_000), &flood);
    assert!(told.len() <= 512, "{} are remembered", told.len());
}

#[test]
fn a_request_is_forgotten_after_its_time() {
    let mut book = book(&[(0, 500), (600, 900)]);
    let hour = 3_600_000;
    book.record_crash(NOW, RequestDigest(8), ACCOUNT, run(10, hour - 10, hour));
    book.remove_expired(ms(hour));
    assert_eq!(book.reports_for(ms(hour), &[REQUEST]).len(), 1);
    let later = hour + 2000;
    book.record_crash(NOW, RequestDigest(9), ACCOUNT, run(11, later - 10, later));
    book.remove_expired(ms(later));
    assert_eq!(book.reports_for(ms(later), &[REQUEST]).len(), 0);
}

#[test]
fn what_was_before_a_routers_start_keeps_its_order() {
    let notes = |runs: &[(u64, u64)]| book(runs).reports_for(ms(60_000), &[REQUEST]);
    let together: Vec<(u64, u64)> = (0..6).map(|copy| (copy * 10, 1000 + copy)).collect();
    let mut started = SuspectTracker::default();
    started.apply_reports(ms(5), ReporterScope::Router, &notes(&together));
    assert!(!is_held(&started, ms(5)));
    let mut started = SuspectTracker::default();
    let held = started.apply_reports(
        ms(5),
        ReporterScope::Router,
        &notes(&[(0, 50_500), (50_600, 50_900)]),
    );
    assert_eq!(held.len(), 1);
    assert_eq!(started.hold_remaining(ms(5), REQUEST), Some(ms(5900)));
}

#[test]
fn what_was_learnt_is_told_twice_and_what_lasts_is_listed() {
    let mut book = book(&[(0, 500), (600, 900)]);
    for _ in 0..2 {
        assert_eq!(book.take_local_updates(ms(1000)).len(), 1);
        assert_eq!(book.take_zone_updates(ms(1000)).len(), 1);
    }
    assert_eq!(book.take_local_updates(ms(1000)).len(), 0);
    assert_eq!(book.requests_with_hold(), &BTreeSet::from([REQUEST]));
    let notes = book.reports_for(ms(1000), &[REQUEST]);
    let mut other = SuspectTracker::default();
    assert_eq!(
        other
            .apply_reports(ms(9), ReporterScope::Router, &notes)
            .len(),
        1
    );
    assert_eq!(
        other.take_local_updates(ms(9)).len(),
        0,
        "its zone was told by who told it"
    );
    assert_eq!(other.take_zone_updates(ms(9)).len(), 1);
    assert_eq!(
        other
            .apply_reports(ms(10), ReporterScope::Router, &notes)
            .len(),
        0
    );
    let mut far = SuspectTracker::default();
    far.apply_reports(ms(9), ReporterScope::Zone, &notes);
    assert_eq!(far.take_zone_updates(ms(9)).len(), 0);
}

#[test]
fn a_router_that_missed_the_excuse_hears_of_it_when_it_tells_what_it_knows() {
    let mut missed = book(&[(0, 500), (600, 900)]);
    let notes = missed.reports_for(ms(1000), &[REQUEST]);
    let mut other = SuspectTracker::default();
    other.apply_reports(ms(1000), ReporterScope::Router, &notes);
    other.record_answered(ms(1000), REQUEST);
    for _ in 0..2 {
        other.take_local_updates(ms(1100));
    }
    other.apply_reports(ms(2000), ReporterScope::Router, &notes);
    let told = other.take_local_updates(ms(2000));
    missed.apply_reports(ms(2000), ReporterScope::Router, &told);
    assert!(!is_held(&missed, ms(2000)));
}

fn notes_of_ends() -> impl Strategy<Value = Vec<SuspectReport>> {
    let end = (0..6u32, any::<bool>()).prop_map(|(key, is_cleared)| CrashReport {
        key,
        replica: key / 2,
        started_ago_ms: 10_000 - 1000 * key,
        crashed_ago_ms: 9500 - 1000 * key,
        is_early: key % 3 > 0,
        is_cleared,
    });
    let note = prop::collection::vec(end, 0..4).prop_map(|ends| SuspectReport {
        request: REQUEST,
        account: ACCOUNT,
        crashes: ends,
    });
    prop::collection::vec(note, 0..8)
}

proptest! {
    /// Datagrams are lost, doubled and overtake each other: who heard the same knows the
    /// same.
    #[test]
    fn notes_add_up_in_any_order_and_however_often(
        notes in notes_of_ends(),
        order in any::<prop::sample::Index>(),
    ) {
        let now = ms(20_000);
        let mut one = SuspectTracker::default();
        for note in &notes {
            one.apply_reports(now, ReporterScope::Router, std::slice::from_ref(note));
        }
        let mut other = SuspectTracker::default();
        let turn = if notes.is_empty() { 0 } else { order.index(notes.len()) };
        let turned = notes.iter().cycle().skip(turn).take(notes.len());
        for note in turned.chain(notes.iter().rev()) {
            other.apply_reports(now, ReporterScope::Zone, std::slice::from_ref(note));
        }
        prop_assert_eq!(one.held_requests(now), other.held_requests(now));
        prop_assert_eq!(one.reports_for(now, &[REQUEST]), other.reports_for(now, &[REQUEST]));
    }
}
