//! Max-min fair shares over the fleet, and the bound on retries.

use {
    archmast::policy::{
        Reporter, ReporterScope, name_hash,
        shares::{AccountUsage, RetryWindow, ShareStatus, ShareTracker, fair_level},
    },
    proptest::prelude::*,
    std::time::Duration,
};

const WINDOW: Duration = Duration::from_secs(4);
const PEER: Reporter = Reporter {
    scope: ReporterScope::Router,
    name: 1,
    source_id: 1,
};
const AGE: Duration = Duration::from_secs(1);

#[test]
fn the_fair_level_divides_the_rest_that_small_accounts_leave() {
    assert_eq!(fair_level(vec![1.0, 5.0, 9.0], 9.0), 4.0);
    assert_eq!(fair_level(vec![1.0, 5.0, 9.0], 3.0), 1.0);
    assert!(fair_level(vec![1.0, 2.0], 3.0).is_infinite());
    assert!(fair_level(Vec::new(), 0.0).is_infinite());
}

#[test]
fn an_account_is_not_over_its_share_while_demand_is_below_capacity() {
    let (big, small) = (name_hash("big"), name_hash("small"));
    let mut tracker = ShareTracker::new(WINDOW, AGE);
    let now = Duration::from_secs(10);
    // Requests are being refused: little was allocated, and more was requested.
    tracker.record_requested(now, big, 3000.0);
    tracker.record_requested(now, small, 1000.0);
    tracker.record_allocated(now, big, 1000.0);
    assert!(wait_if_over(&mut tracker, now, big).is_some());
    // All engines together process 2,000 tokens per second, 8,000 per window.
    tracker.set_declared_capacity(Some(2000.0));
    assert_eq!(wait_if_over(&mut tracker, now, big), None);
    tracker.record_requested(now, big, 20_000.0);
    tracker.record_allocated(now, big, 9000.0);
    assert!(wait_if_over(&mut tracker, now, big).is_some());
    assert_eq!(wait_if_over(&mut tracker, now, small), None);
    tracker.set_declared_capacity(None);
    assert!(wait_if_over(&mut tracker, now, big).is_some());
}

/// Guards against a panic while the tracker is locked, after which no request is answered.
#[test]
fn accounts_have_shares_where_less_than_a_token_was_allocated() {
    let (first, second) = (name_hash("first"), name_hash("second"));
    let mut tracker = ShareTracker::new(WINDOW, AGE);
    let now = Duration::from_secs(10);
    tracker.record_requested(now, first, 3.0);
    tracker.record_allocated(now, first, 1.0);
    let now = now + WINDOW / 20;
    tracker.record_requested(now, first, 3.0);
    tracker.record_requested(now, second, 2.0);
    assert_eq!(wait_if_over(&mut tracker, now, first), Some(Duration::ZERO));
    assert_eq!(wait_if_over(&mut tracker, now, second), None);
}

#[test]
fn the_capacity_divided_follows_the_rate_of_placed_requests() {
    let mut tracker = ShareTracker::new(WINDOW, AGE);
    tracker.set_declared_capacity(Some(1000.0));
    let mut now = Duration::from_secs(10);
    let mut count = |placed: usize, refused: usize| {
        for is_placed in [vec![false; refused], vec![true; placed]].concat() {
            now += Duration::from_millis(10);
            tracker.record_placement(now, is_placed);
        }
        tracker.fair_allocation(now).capacity
    };
    assert!(count(50, 2) > 3600.0);
    assert!(count(30, 70) < 400.0);
    assert!(count(300, 0) > 3600.0);
    // After long without requests the declared capacity counts again.
    assert!(count(0, 100) < 400.0);
    assert_eq!(
        tracker
            .fair_allocation(now + Duration::from_secs(60))
            .capacity,
        4000.0
    );
}

proptest! {
    #[test]
    fn no_account_gets_more_than_requested_and_all_capacity_is_allocated(
        requested in prop::collection::vec(0.0f32..1000.0, 1..20),
        part in 0.01f32..0.99,
    ) {
        let capacity = requested.iter().sum::<f32>() * part;
        let level = fair_level(requested.clone(), capacity);
        let allocated: f32 = requested.iter().map(|one| one.min(level)).sum();
        prop_assert!((allocated - capacity).abs() <= capacity * 0.001 + 0.01);
    }
}

/// How long an account that is over its share must wait; `None` if it is not over it.
fn wait_if_over(
    tracker: &mut ShareTracker,
    now: Duration,
    account: u32,
) -> Option<Duration> {
    match tracker.account_share(now, account, 0.0).status {
        ShareStatus::Over { wait, .. } => Some(wait),
        ShareStatus::Within | ShareStatus::Under => None,
    }
}

#[test]
fn an_account_is_over_its_share_only_while_others_got_less_than_theirs() {
    let (big, small) = (name_hash("big"), name_hash("small"));
    let mut tracker = ShareTracker::new(WINDOW, AGE);
    let now = Duration::from_secs(10);
    for account in [big, small] {
        tracker.record_requested(now, account, 1000.0);
    }
    tracker.record_allocated(now, big, 1000.0);
    assert!(wait_if_over(&mut tracker, now, big).is_some());
    assert_eq!(wait_if_over(&mut tracker, now, small), None);
    tracker.record_allocated(now, small, 1000.0);
    assert_eq!(wait_if_over(&mut tracker, now, big), None);
}

fn usage_report(
    tracker: &mut ShareTracker,
    now: Duration,
) -> Vec<(u32, AccountUsage)> {
    tracker.own_usage(now).clone().into_iter().collect()
}

#[test]
fn what_peers_gave_counts_until_it_is_old() {
    let (big, small) = (name_hash("big"), name_hash("small"));
    let mut here = ShareTracker::new(WINDOW, AGE);
    let mut there = ShareTracker::new(WINDOW, AGE);
    let now = Duration::from_secs(10);
    here.record_requested(now, big, 500.0);
    here.record_requested(now, small, 500.0);
    there.record_requested(now, big, 3000.0);
    there.record_allocated(now, big, 3000.0);
    here.apply_report(now, PEER, &usage_report(&mut there, now));
    assert!(wait_if_over(&mut here, now, big).is_some());
    assert_eq!(wait_if_over(&mut here, now + AGE * 2, big), None);
    here.apply_report(now, PEER, &usage_report(&mut there, now));
    here.remove_reporter(PEER.name);
    assert_eq!(wait_if_over(&mut here, now, big), None);
}

#[test]
fn the_retry_time_is_when_the_share_is_free_again() {
    let (big, small) = (name_hash("big"), name_hash("small"));
    let mut tracker = ShareTracker::new(WINDOW, AGE);
    let now = Duration::from_secs(10);
    tracker.record_requested(now, big, 10_000.0);
    tracker.record_requested(now, small, 1000.0);
    tracker.record_allocated(now, big, 4000.0);
    tracker.record_allocated(now, small, 500.0);
    let wait = wait_if_over(&mut tracker, now, big).expect("over its share");
    assert!(wait > Duration::ZERO && wait < WINDOW * 3);
    // It gets nothing more, while the small one goes on as before.
    let then = now + wait + Duration::from_millis(100);
    tracker.record_requested(then, small, 600.0);
    tracker.record_allocated(then, small, 600.0);
    tracker.record_requested(then, big, 100.0);
    let remaining = wait_if_over(&mut tracker, then, big).unwrap_or_default();
    assert!(remaining < wait, "{remaining:?} after {wait:?}");
}

#[test]
fn an_account_with_most_requests_refused_is_under_its_share_until_it_catches_up() {
    let (big, small) = (name_hash("big"), name_hash("small"));
    let mut tracker = ShareTracker::new(WINDOW, AGE);
    let now = Duration::from_secs(10);
    tracker.record_requested(now, big, 50_000.0);
    tracker.record_allocated(now, big, 20_000.0);
    // Its first request: none was refused yet.
    tracker.record_requested(now, small, 5000.0);
    assert_eq!(
        tracker.account_share(now, small, 5000.0).status,
        ShareStatus::Within
    );
    // It was refused, and is sent again.
    tracker.record_requested(now, small, 5000.0);
    assert_eq!(
        tracker.account_share(now, small, 5000.0).status,
        ShareStatus::Under
    );
    tracker.record_allocated(now, small, 5000.0);
    assert_eq!(
        tracker.account_share(now, small, 0.0).status,
        ShareStatus::Within
    );
}

#[test]
fn unused_allocations_are_subtracted() {
    let (big, small) = (name_hash("big"), name_hash("small"));
    let mut tracker = ShareTracker::new(WINDOW, AGE);
    let now = Duration::from_secs(10);
    tracker.record_requested(now, big, 1000.0);
    tracker.record_requested(now, small, 1000.0);
    tracker.record_allocated(now, big, 1000.0);
    tracker.record_unused(big, 1000.0);
    assert_eq!(wait_if_over(&mut tracker, now, big), None);
}

#[test]
fn repeats_stay_within_the_fleets_bound_in_every_window() {
    let window = Duration::from_secs(10);
    let (ratio, extra, routers) = (0.2, 12.0, 4);
    let mut retries: Vec<RetryWindow> = (0..routers)
        .map(|_| RetryWindow::new(window, ratio, extra))
        .collect();
    let mut taken: Vec<Duration> = Vec::new();
    let mut requests: Vec<Duration> = Vec::new();
    for step in 0..3000u32 {
        let now = Duration::from_millis(u64::from(step) * 10);
        let router = &mut retries[step as usize % routers];
        if step % 3 == 0 {
            router.record_request(now, "s");
            requests.push(now);
        }
        if router.try_take_retry(now, "s", routers) {
            taken.push(now);
        }
    }
    for (index, end) in taken.iter().enumerate() {
        let within = |at: &&Duration| **at + window >= *end && **at <= *end;
        let repeats = taken[..=index].iter().filter(within).count() as f64;
        let requested = requests.iter().filter(within).count() as f64;
        assert!(repeats <= ratio * requested + extra + 0.001);
    }
}

/// What two accounts with constant demand get in the six seconds after one of them got all capacity
/// of four seconds at once.
fn after_a_burst(window: Duration) -> (f32, f32) {
    const CAPACITY: f32 = 100.0; // tokens per step
    let step = Duration::from_millis(100);
    let (hot, other) = (name_hash("hot"), name_hash("other"));
    let mut tracker = ShareTracker::new(window, AGE);
    let mut now = Duration::from_secs(10);
    tracker.record_requested(now, hot, CAPACITY * 40.0);
    tracker.record_allocated(now, hot, CAPACITY * 40.0);
    let mut got = (0.0, 0.0);
    for _ in 0..60 {
        now += step;
        tracker.record_requested(now, hot, CAPACITY * 2.0);
        tracker.record_requested(now, other, CAPACITY * 2.0);
        let hot_may = wait_if_over(&mut tracker, now, hot).is_none();
        let other_may = wait_if_over(&mut tracker, now, other).is_none();
        let each = CAPACITY / f32::from(u8::from(hot_may) + u8::from(other_may)).max(1.0);
        if hot_may {
            tracker.record_allocated(now, hot, each);
            got.0 += each;
        }
        if other_may {
            tracker.record_allocated(now, other, each);
            got.1 += each;
        }
    }
    got
}

#[test]
fn an_account_that_got_much_at_once_is_not_shut_out_for_long() {
    for window in [1500, 2000].map(Duration::from_millis) {
        let (hot, other) = after_a_burst(window);
        assert!(hot >= other / 2.0, "{hot} of {other} over {window:?}");
    }
    // With a window of four seconds it is refused for too long: the failure that this test guards
    // against.
    let (hot, other) = after_a_burst(Duration::from_secs(4));
    assert!(hot < other / 2.0, "{hot} of {other}");
}

/// The usage that a tracker reports for an account with constant allocations, if it is read at this
/// interval.
fn allocated_when_read_every(interval: Duration) -> f32 {
    let account = name_hash("steady");
    let mut tracker = ShareTracker::new(Duration::from_secs(3), AGE);
    let mut now = Duration::from_secs(10);
    let (mut next_allocation, mut next_read) = (now, now);
    while now < Duration::from_secs(40) {
        if now >= next_allocation {
            tracker.record_allocated(now, account, 1000.0);
            next_allocation += Duration::from_millis(500);
        }
        if now >= next_read {
            tracker.own_usage(now);
            next_read += interval;
        }
        now += Duration::from_millis(1);
    }
    tracker.own_usage(now)[&account].allocated
}

#[test]
fn the_allocation_of_an_account_does_not_depend_on_how_often_it_is_read() {
    // 2,000 tokens per second over three seconds.
    for interval in [1, 7, 60, 95, 99, 101, 190, 450].map(Duration::from_millis) {
        let got = allocated_when_read_every(interval);
        assert!(
            (got - 6000.0).abs() < 600.0,
            "{got} when read every {interval:?}"
        );
    }
}
