//! Notices that replicas send about themselves, and how long each holds.

use {
    archmast::{
        catalog::{UpstreamEntry, UpstreamState},
        platform::read_notice,
        policy::{Moment, NoticeTracker, ReplicaNotice, parse_retry_after},
    },
    hyper::{
        StatusCode,
        header::{HeaderMap, HeaderValue, RETRY_AFTER},
    },
    std::{sync::Arc, time::Duration},
};

const LEAVING: ReplicaNotice = ReplicaNotice {
    is_leaving: true,
    backoff: Duration::ZERO,
};

fn replica(
    id: &str,
    started_unix_ms: Option<u64>,
) -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        id: id.into(),
        started_unix_ms,
        service: "s".into(),
        version: "v1".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        zone: "z".into(),
        slots: 8,
        state: UpstreamState::Ready,
        slow_start_remaining: Duration::ZERO,
    })
}

fn at(seconds: f64) -> Moment {
    Moment::ZERO + Duration::from_secs_f64(seconds)
}

fn backoff(seconds: f64) -> ReplicaNotice {
    ReplicaNotice::new(false, Some(Duration::from_secs_f64(seconds)))
}

/// Whether a replica accepts requests, by its own notices.
fn accepts_requests(
    tracker: &NoticeTracker,
    now: Moment,
    replica: &UpstreamEntry,
) -> bool {
    !tracker.is_leaving(now, replica) && tracker.backoff_remaining(now, replica).is_zero()
}

/// When the notices of these tests are received, in unix milliseconds.
const RECEIVED_UNIX_MS: u64 = 1_700_000_000_000;

#[test]
fn a_leaving_notice_holds_for_good_and_for_that_start_only() {
    let mut tracker = NoticeTracker::default();
    let old = replica("a", Some(RECEIVED_UNIX_MS - 60_000));
    let new = replica("a", Some(RECEIVED_UNIX_MS + 2_000));
    let other = replica("b", None);
    assert!(tracker.apply_notice(at(1.0), RECEIVED_UNIX_MS, &old, LEAVING));
    assert!(!tracker.apply_notice(at(2.0), RECEIVED_UNIX_MS, &old, LEAVING));
    tracker.set_listed(at(1000.0), &[old.clone(), other.clone()]);
    assert!(!accepts_requests(&tracker, at(1000.0), &old));
    assert!(accepts_requests(&tracker, at(1000.0), &new));
    assert!(accepts_requests(&tracker, at(1000.0), &other));
}

/// A replica restarts and announces that it leaves before the list contains the new start.
#[test]
fn a_notice_applies_to_the_start_that_sent_it_when_the_list_lags() {
    let mut tracker = NoticeTracker::default();
    let listed = replica("a", Some(RECEIVED_UNIX_MS - 60_000));
    let restarted = replica("a", Some(RECEIVED_UNIX_MS - 500));
    tracker.apply_notice(at(1.0), RECEIVED_UNIX_MS, &listed, LEAVING);
    tracker.apply_notice(at(1.0), RECEIVED_UNIX_MS, &listed, backoff(30.0));
    tracker.set_listed(at(5.0), std::slice::from_ref(&restarted));
    assert!(!accepts_requests(&tracker, at(5.0), &restarted));
    assert_eq!(
        tracker.backoff_remaining(at(5.0), &restarted),
        Duration::from_secs(26)
    );
    // A wrong clock excludes a replica for a bounded time only.
    assert!(accepts_requests(&tracker, at(66.0), &restarted));
}

#[test]
fn a_notice_outlives_a_lapse_of_its_entry_and_is_removed_long_after() {
    let mut tracker = NoticeTracker::default();
    let leaving = replica("a", None);
    tracker.apply_notice(at(1.0), RECEIVED_UNIX_MS, &leaving, LEAVING);
    tracker.set_listed(at(2.0), &[]);
    tracker.set_listed(at(300.0), std::slice::from_ref(&leaving));
    tracker.set_listed(at(700.0), &[]);
    assert!(!accepts_requests(&tracker, at(700.0), &leaving));
    tracker.set_listed(at(1301.0), &[]);
    assert!(accepts_requests(&tracker, at(1301.0), &leaving));
}

#[test]
fn the_latest_end_of_several_backoffs_counts() {
    let mut tracker = NoticeTracker::default();
    let overloaded = replica("a", Some(1));
    assert!(tracker.apply_notice(at(0.0), RECEIVED_UNIX_MS, &overloaded, backoff(3.0)));
    assert!(!tracker.apply_notice(at(1.0), RECEIVED_UNIX_MS, &overloaded, backoff(0.5)));
    tracker.set_listed(at(2.0), &[]);
    assert_eq!(
        tracker.backoff_remaining(at(2.0), &overloaded),
        Duration::from_secs(1)
    );
    assert!(!accepts_requests(&tracker, at(2.9), &overloaded));
    assert!(accepts_requests(&tracker, at(3.0), &overloaded));
    assert!(tracker.apply_notice(at(3.0), RECEIVED_UNIX_MS, &overloaded, backoff(1.0)));
}

/// A refusal whose `Retry-After` is not a plain number must not start a backoff. Such a refusal
/// once excluded its replica for ten minutes.
#[test]
fn a_refusal_asks_for_backoff_with_plain_decimal_seconds_only() {
    for text in [
        "",
        " ",
        "inf",
        "infinity",
        "NaN",
        "1e300",
        "1e1",
        "-1",
        "+1",
        "-0",
        "0x10",
        "1_000",
        "1,5",
        "1.",
        ".5",
        "1.5.2",
        "1 2",
        "3s",
        "soon",
        "\u{0663}",
        "Fri, 31 Dec 1999 23:59:59 GMT",
    ] {
        assert_eq!(parse_retry_after(text), None, "{text:?}");
        assert!(notice_of_refusal(text).is_empty(), "{text:?}");
    }
    for (text, millis) in [
        ("0", 0),
        ("0.0", 0),
        ("0.25", 250),
        (" 3 ", 3_000),
        ("07.50", 7_500),
    ] {
        let backoff_time = Duration::from_millis(millis);
        assert_eq!(parse_retry_after(text), Some(backoff_time), "{text:?}");
        assert_eq!(notice_of_refusal(text).backoff, backoff_time, "{text:?}");
    }
}

#[test]
fn no_backoff_lasts_longer_than_thirty_seconds() {
    for text in ["31", "601", "99999999999999999999", &"9".repeat(400)] {
        let mut tracker = NoticeTracker::default();
        let overloaded = replica("a", None);
        tracker.apply_notice(
            at(0.0),
            RECEIVED_UNIX_MS,
            &overloaded,
            notice_of_refusal(text),
        );
        assert!(!accepts_requests(&tracker, at(29.9), &overloaded), "{text}");
        assert!(accepts_requests(&tracker, at(30.0), &overloaded), "{text}");
    }
}

/// The notice in a refusal with this `Retry-After`.
fn notice_of_refusal(retry_after: &str) -> ReplicaNotice {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_bytes(retry_after.as_bytes()).expect("a header's value");
    headers.insert(RETRY_AFTER, value);
    read_notice(StatusCode::SERVICE_UNAVAILABLE, &headers)
}
