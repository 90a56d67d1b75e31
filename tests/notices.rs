//! What replicas say of themselves, and for how long it binds.

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

const LEAVES: ReplicaNotice = ReplicaNotice {
    is_leaving: true,
    backoff: Duration::ZERO,
};

fn replica(
    id: &str,
    born: Option<u64>,
) -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        id: id.into(),
        started_unix_ms: born,
        service: "s".into(),
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

fn rests(seconds: f64) -> ReplicaNotice {
    ReplicaNotice::new(false, Some(Duration::from_secs_f64(seconds)))
}

/// Whether a replica may be sent a request, by its own word.
fn permits(
    book: &NoticeTracker,
    now: Moment,
    replica: &UpstreamEntry,
) -> bool {
    !book.is_leaving(now, replica) && book.backoff_remaining(now, replica).is_zero()
}

/// When the words of these tests are said, in unix milliseconds.
const SAID: u64 = 1_700_000_000_000;

#[test]
fn leaving_binds_for_good_and_for_that_start_only() {
    let mut book = NoticeTracker::default();
    let old = replica("a", Some(SAID - 60_000));
    let new = replica("a", Some(SAID + 2_000));
    let other = replica("b", None);
    assert!(book.apply_notice(at(1.0), SAID, &old, LEAVES));
    assert!(!book.apply_notice(at(2.0), SAID, &old, LEAVES));
    book.set_listed(at(1000.0), &[old.clone(), other.clone()]);
    assert!(!permits(&book, at(1000.0), &old));
    assert!(permits(&book, at(1000.0), &new));
    assert!(permits(&book, at(1000.0), &other));
}

/// A replica started again, and leaves; the list tells of that start only afterwards.
#[test]
fn a_word_binds_the_start_that_said_it_though_the_list_was_behind() {
    let mut book = NoticeTracker::default();
    let listed = replica("a", Some(SAID - 60_000));
    let speaker = replica("a", Some(SAID - 500));
    book.apply_notice(at(1.0), SAID, &listed, LEAVES);
    book.apply_notice(at(1.0), SAID, &listed, rests(30.0));
    book.set_listed(at(5.0), std::slice::from_ref(&speaker));
    assert!(!permits(&book, at(5.0), &speaker));
    assert_eq!(
        book.backoff_remaining(at(5.0), &speaker),
        Duration::from_secs(26)
    );
    // A clock that is wrong shuts a replica out for a bounded time.
    assert!(permits(&book, at(66.0), &speaker));
}

#[test]
fn a_word_outlives_a_lapse_of_its_entry_and_is_forgotten_long_after() {
    let mut book = NoticeTracker::default();
    let leaves = replica("a", None);
    book.apply_notice(at(1.0), SAID, &leaves, LEAVES);
    book.set_listed(at(2.0), &[]);
    book.set_listed(at(300.0), std::slice::from_ref(&leaves));
    book.set_listed(at(700.0), &[]);
    assert!(!permits(&book, at(700.0), &leaves));
    book.set_listed(at(1301.0), &[]);
    assert!(permits(&book, at(1301.0), &leaves));
}

#[test]
fn the_latest_end_of_several_rests_counts() {
    let mut book = NoticeTracker::default();
    let tired = replica("a", Some(1));
    assert!(book.apply_notice(at(0.0), SAID, &tired, rests(3.0)));
    assert!(!book.apply_notice(at(1.0), SAID, &tired, rests(0.5)));
    book.set_listed(at(2.0), &[]);
    assert_eq!(
        book.backoff_remaining(at(2.0), &tired),
        Duration::from_secs(1)
    );
    assert!(!permits(&book, at(2.9), &tired));
    assert!(permits(&book, at(3.0), &tired));
    assert!(book.apply_notice(at(3.0), SAID, &tired, rests(1.0)));
}

/// A replica's refusal with no sensible `Retry-After` took it out for ten minutes.
#[test]
fn a_refusal_asks_for_rest_with_plain_decimal_seconds_only() {
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
        assert!(turned_away(text).is_empty(), "{text:?}");
    }
    for (text, millis) in [
        ("0", 0),
        ("0.0", 0),
        ("0.25", 250),
        (" 3 ", 3_000),
        ("07.50", 7_500),
    ] {
        let rest = Duration::from_millis(millis);
        assert_eq!(parse_retry_after(text), Some(rest), "{text:?}");
        assert_eq!(turned_away(text).backoff, rest, "{text:?}");
    }
}

#[test]
fn no_rest_binds_for_longer_than_an_operator_would_wait() {
    for text in ["31", "601", "99999999999999999999", &"9".repeat(400)] {
        let mut book = NoticeTracker::default();
        let tired = replica("a", None);
        book.apply_notice(at(0.0), SAID, &tired, turned_away(text));
        assert!(!permits(&book, at(29.9), &tired), "{text}");
        assert!(permits(&book, at(30.0), &tired), "{text}");
    }
}

/// What a refusal with this `Retry-After` says of its replica.
fn turned_away(retry_after: &str) -> ReplicaNotice {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_bytes(retry_after.as_bytes()).expect("a header's value");
    headers.insert(RETRY_AFTER, value);
    read_notice(StatusCode::SERVICE_UNAVAILABLE, &headers)
}
