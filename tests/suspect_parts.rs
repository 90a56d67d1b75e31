//! Parts of prompts during which replicas crashed: what counts against one and what clears it, that
//! the fleet has one trial after a hold, and that reports of routers give the same result in any
//! order.

use {
    archmast::policy::{
        Moment, ReporterScope,
        suspects::{
            CrashReport, CrashedAttempt, SuspectDigest, SuspectKind, SuspectReport, SuspectTracker,
            Suspects, TrialClaim, Verdict,
        },
    },
    proptest::prelude::*,
    std::{collections::BTreeSet, time::Duration},
};

const FATAL: SuspectDigest = SuspectDigest(1);
const SHARED: SuspectDigest = SuspectDigest(2);
const ACCOUNT: u32 = 3;

/// How long others wait for the outcome of a trial, in milliseconds.
const TRIAL_MS: u64 = 4000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The crash of a replica during an attempt of 100 ms that had brought no event.
fn crash(
    replica: u32,
    crashed_ms: u64,
) -> CrashedAttempt {
    let random_key = replica + 1000;
    CrashedAttempt::observed(
        random_key,
        replica,
        ms(crashed_ms - 100),
        None,
        ms(crashed_ms),
    )
}

fn parts() -> SuspectTracker {
    SuspectTracker::new(SuspectKind::Part)
}

/// Records that a replica crashed at this time during an attempt with these parts.
fn record(
    tracker: &mut SuspectTracker,
    replica: u32,
    crashed_ms: u64,
    digests: &[SuspectDigest],
) {
    let crash = crash(replica, crashed_ms)
        .against_part()
        .expect("it had begun to answer shortly before, if at all");
    for digest in digests {
        tracker.record_crash(ms(crashed_ms), *digest, ACCOUNT, crash);
    }
}

fn check(
    tracker: &mut SuspectTracker,
    now: Moment,
    digests: &[SuspectDigest],
) -> Verdict {
    tracker.check(now, digests, true, 1)
}

fn is_claimed(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Claimed(_))
}

#[test]
fn three_crashes_hold_a_part_back_and_two_do_not() {
    let mut tracker = parts();
    record(&mut tracker, 1, 3000, &[FATAL]);
    record(&mut tracker, 2, 3400, &[FATAL]);
    assert_eq!(check(&mut tracker, ms(3400), &[FATAL]), Verdict::Free);
    record(&mut tracker, 3, 3800, &[FATAL]);
    assert_eq!(
        check(&mut tracker, ms(3900), &[FATAL]),
        Verdict::Held(ms(2900))
    );
    assert_eq!(check(&mut tracker, ms(3900), &[SHARED]), Verdict::Free);
}

#[test]
fn requests_that_are_never_alike_are_held_back_by_the_part_they_share() {
    let mut suspects = Suspects::new(BTreeSet::new());
    for number in 1..=3_u32 {
        let at = 3000 + u64::from(number) * 400;
        let request = SuspectDigest(100 + u64::from(number));
        let crash = crash(number, at);
        suspects.record_crash(ms(at), request, &[FATAL], ACCOUNT, crash);
    }
    let now = ms(4300);
    let other = SuspectDigest(200);
    let verdict = suspects.check(now, other, &[FATAL, SHARED], true, 1);
    assert_eq!(verdict, Verdict::Held(ms(2900)));
    let verdict = suspects.check(now, other, &[SHARED], true, 1);
    assert_eq!(verdict, Verdict::Free);
}

#[test]
fn a_replica_that_lived_on_after_the_answer_began_is_no_evidence() {
    let late = CrashedAttempt::observed(1, 1, ms(3000), Some(ms(3100)), ms(3700));
    assert_eq!(late.against_part(), None);
    let early = CrashedAttempt::observed(1, 1, ms(3000), Some(ms(3300)), ms(3400));
    assert!(early.against_part().is_some());
}

#[test]
fn replicas_that_crash_together_count_once() {
    let mut tracker = parts();
    for replica in 1..=6 {
        record(
            &mut tracker,
            replica,
            3000 + u64::from(replica) * 40,
            &[SHARED],
        );
    }
    assert_eq!(check(&mut tracker, ms(3300), &[SHARED]), Verdict::Free);
}

#[test]
fn one_crash_counts_once_however_many_routers_lose_answers_with_it() {
    let mut tracker = parts();
    for report in 0..8 {
        record(&mut tracker, 1, 3000 + report, &[SHARED]);
    }
    record(&mut tracker, 2, 3800, &[SHARED]);
    assert_eq!(check(&mut tracker, ms(3900), &[SHARED]), Verdict::Free);
}

#[test]
fn an_answer_clears_a_part_of_earlier_crashes_only() {
    let mut tracker = parts();
    for replica in 1..=3 {
        record(
            &mut tracker,
            replica,
            3000 + u64::from(replica) * 400,
            &[FATAL],
        );
    }
    assert!(tracker.record_answered(ms(4300), FATAL));
    assert_eq!(check(&mut tracker, ms(4300), &[FATAL]), Verdict::Free);
    // It turned fatal: as it was answered lately, twice as many crashes are needed.
    for replica in 4..=9 {
        let at = 4000 + u64::from(replica) * 400;
        assert_eq!(check(&mut tracker, ms(at), &[FATAL]), Verdict::Free);
        record(&mut tracker, replica, at, &[FATAL]);
    }
    assert_eq!(
        check(&mut tracker, ms(7600), &[FATAL]),
        Verdict::Held(ms(3000))
    );
}

#[test]
fn a_part_that_turned_fatal_is_held_back_though_each_request_crashes_two_replicas() {
    let mut tracker = parts();
    tracker.record_answered(ms(2900), FATAL);
    for number in 1..=6_u32 {
        let at = 3000 + u64::from(number) * 400;
        assert_eq!(check(&mut tracker, ms(at), &[FATAL]), Verdict::Free);
        record(&mut tracker, number, at, &[FATAL]);
        record(&mut tracker, number + 10, at + 100, &[FATAL]);
    }
    assert_eq!(
        check(&mut tracker, ms(5500), &[FATAL]),
        Verdict::Held(ms(3000))
    );
}

#[test]
fn one_request_that_meets_crash_after_crash_holds_none_of_its_parts_back() {
    let mut suspects = Suspects::new(BTreeSet::new());
    for number in 1..=4_u32 {
        let at = 3000 + u64::from(number) * 400;
        suspects.record_crash(
            ms(at),
            SuspectDigest(9),
            &[SHARED],
            ACCOUNT,
            crash(number, at),
        );
    }
    assert_eq!(suspects.tracker(SuspectKind::Part).held(ms(4600)), []);
    assert_eq!(
        suspects.tracker(SuspectKind::Request).held(ms(4600)).len(),
        1
    );
}

#[test]
fn a_router_that_served_a_part_since_tells_those_that_count_crashes() {
    let mut serving = parts();
    let mut counting = parts();
    for replica in 1..=3 {
        record(
            &mut counting,
            replica,
            3000 + u64::from(replica) * 400,
            &[SHARED],
        );
    }
    serving.record_answered(ms(4250), SHARED);
    let reports = counting.reports_for(ms(4300), &[SHARED]);
    let held = serving.apply_reports(ms(4300), ReporterScope::Router, &reports);
    assert_eq!(held, []);
    let updates = serving.take_local_updates(ms(4300));
    counting.apply_reports(ms(4310), ReporterScope::Router, &updates);
    assert_eq!(check(&mut counting, ms(4310), &[SHARED]), Verdict::Free);
}

#[test]
fn parts_in_steady_use_cause_no_messages_when_a_replica_crashes() {
    let mut tracker = parts();
    tracker.record_answered(ms(3000), SHARED);
    let reports = [SuspectReport {
        digest: SHARED,
        account: ACCOUNT,
        crashes: vec![CrashReport::new(
            ms(3100),
            &crash(1, 3050).against_part().expect("strong evidence"),
        )],
    }];
    tracker.apply_reports(ms(3100), ReporterScope::Router, &reports);
    assert!(!tracker.record_answered(ms(3200), SHARED));
    assert_eq!(tracker.take_local_updates(ms(3200)), []);
}

#[test]
fn a_request_with_one_part_that_is_held_back_is_tried_before_one_with_several() {
    let mut tracker = parts();
    for replica in 1..=3 {
        let at = 3000 + u64::from(replica) * 400;
        record(&mut tracker, replica, at, &[FATAL, SHARED]);
    }
    let after_hold = ms(4200 + 3000);
    assert_eq!(
        check(&mut tracker, after_hold, &[FATAL, SHARED]),
        Verdict::Held(ms(12_000))
    );
    assert!(is_claimed(&check(&mut tracker, after_hold, &[SHARED])));
    assert_eq!(
        check(&mut tracker, after_hold, &[SHARED]),
        Verdict::Held(ms(TRIAL_MS))
    );
    tracker.record_answered(ms(7900), SHARED);
    assert_eq!(check(&mut tracker, ms(7900), &[SHARED]), Verdict::Free);
    assert!(is_claimed(&check(&mut tracker, ms(8000), &[FATAL, SHARED])));
}

#[test]
fn each_trial_that_crashes_a_replica_leads_to_a_longer_hold() {
    let mut tracker = parts();
    for replica in 1..=3 {
        record(
            &mut tracker,
            replica,
            3000 + u64::from(replica) * 400,
            &[FATAL],
        );
    }
    let mut now = 4200 + 3000;
    for (replica, hold_ms) in [(4, 15_000), (5, 120_000), (6, 600_000), (7, 3_600_000)] {
        assert!(is_claimed(&check(&mut tracker, ms(now), &[FATAL])));
        now += 200;
        record(&mut tracker, replica, now, &[FATAL]);
        assert_eq!(
            check(&mut tracker, ms(now), &[FATAL]),
            Verdict::Held(ms(hold_ms))
        );
        now += hold_ms;
    }
}

/// A tracker that holds a part back until 7200 ms. The crashes are dated late by this time.
fn with_hold(late_ms: u64) -> Suspects {
    let mut suspects = Suspects::new(BTreeSet::new());
    let tracker = suspects.tracker(SuspectKind::Part);
    for replica in 1..=3 {
        let at = 3000 + u64::from(replica) * 400 + late_ms;
        record(tracker, replica, at, &[FATAL]);
    }
    suspects
}

/// Three hundred routers that have one hold, and claim a trial at 7350 ms before they hear of
/// each other.
fn claiming_routers() -> Vec<(Suspects, TrialClaim)> {
    let routers = (0..300).map(|router: u32| {
        let mut suspects = with_hold(u64::from(router) % 150);
        let key = router.wrapping_mul(2_654_435_761);
        let verdict = suspects.check(ms(7350), SuspectDigest(9), &[FATAL], true, key);
        let Verdict::Claimed(claim) = verdict else {
            panic!("no trial was claimed: {verdict:?}");
        };
        (suspects, claim)
    });
    routers.collect()
}

#[test]
fn three_hundred_routers_have_one_trial() {
    let mut routers = claiming_routers();
    let reports: Vec<_> = routers
        .iter_mut()
        .flat_map(|(suspects, _)| {
            let tracker = suspects.tracker(SuspectKind::Part);
            tracker.take_local_trials(ms(7400))
        })
        .collect();
    for (number, (suspects, _)) in routers.iter_mut().enumerate() {
        let tracker = suspects.tracker(SuspectKind::Part);
        let (first, rest) = reports.split_at(number);
        for report in rest.iter().chain(first) {
            tracker.apply_trial(ms(7500), ReporterScope::Router, report);
        }
    }
    let standing = routers
        .iter_mut()
        .filter_map(|(suspects, claim)| suspects.is_claim_standing(claim).then_some(()));
    assert_eq!(standing.count(), 1);
    for (suspects, _) in &mut routers {
        let verdict = suspects.check(ms(7800), SuspectDigest(9), &[FATAL], true, 0);
        assert!(matches!(verdict, Verdict::Held(_)), "{verdict:?}");
    }
}

#[test]
fn a_router_that_is_cut_off_claims_no_trial() {
    let mut suspects = with_hold(0);
    let verdict = suspects.check(ms(9000), SuspectDigest(9), &[FATAL], false, 1);
    assert_eq!(verdict, Verdict::Held(ms(TRIAL_MS)));
}

#[test]
fn a_claimed_trial_does_not_stand_once_another_replica_crashes() {
    let (mut suspects, claim) = claiming_routers().remove(0);
    assert!(suspects.is_claim_standing(&claim));
    record(suspects.tracker(SuspectKind::Part), 4, 7400, &[FATAL]);
    assert!(!suspects.is_claim_standing(&claim));
}

#[test]
fn a_caller_that_makes_parts_up_displaces_nothing_of_others() {
    let mut suspects = with_hold(0);
    let tracker = suspects.tracker(SuspectKind::Part);
    for number in 0..20_000_u64 {
        let at = 5000 + number;
        let crash = crash(number as u32 + 10, at)
            .against_part()
            .expect("strong");
        tracker.record_crash(ms(at), SuspectDigest(1000 + number), 99, crash);
    }
    let made_up: Vec<SuspectDigest> = (1000..21_000).map(SuspectDigest).collect();
    assert!(tracker.reports_for(ms(25_000), &made_up).len() <= 512);
    assert_eq!(tracker.reports_for(ms(25_000), &[FATAL]).len(), 1);
}

fn suspect_reports() -> impl Strategy<Value = Vec<SuspectReport>> {
    let crash = (0..6u32, 0..200u32, any::<bool>(), any::<bool>()).prop_map(
        |(key, delay_ms, is_strong, is_cleared)| CrashReport {
            key,
            replica: key,
            started_ago_ms: 10_000 - 1000 * key - delay_ms,
            crashed_ago_ms: 9500 - 1000 * key - delay_ms,
            is_strong,
            is_cleared,
        },
    );
    let report = prop::collection::vec(crash, 0..4).prop_map(|crashes| SuspectReport {
        digest: FATAL,
        account: ACCOUNT,
        crashes,
    });
    prop::collection::vec(report, 0..8)
}

proptest! {
    /// Several routers report one crash of a replica with different times and weights, and their
    /// datagrams are lost, duplicated and reordered.
    #[test]
    fn reports_of_one_crash_by_several_routers_give_the_same_state_in_any_order(
        reports in suspect_reports(),
        order in any::<prop::sample::Index>(),
    ) {
        let now = ms(20_000);
        let mut one = parts();
        for report in &reports {
            one.apply_reports(now, ReporterScope::Router, std::slice::from_ref(report));
        }
        let mut other = parts();
        let offset = if reports.is_empty() { 0 } else { order.index(reports.len()) };
        let rotated = reports.iter().cycle().skip(offset).take(reports.len());
        for report in rotated.chain(reports.iter().rev()) {
            other.apply_reports(now, ReporterScope::Zone, std::slice::from_ref(report));
        }
        prop_assert_eq!(one.held(now), other.held(now));
        prop_assert_eq!(one.reports_for(now, &[FATAL]), other.reports_for(now, &[FATAL]));
    }
}
