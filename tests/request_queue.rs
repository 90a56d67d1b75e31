//! Which requests are queued, which are refused when the queue is full, and which one uses a grant.

use {
    archmast::{
        codes::ResultCode,
        fleet::AccountId,
        policy::{HostSet, QueueBounds, RequestQueue, WaitingRequest},
    },
    std::{sync::Arc, time::Duration},
};

fn queue(
    requests: usize,
    per_account: usize,
) -> RequestQueue {
    let bounds = QueueBounds {
        requests,
        bytes: 1 << 20,
        per_account,
        refuse_early: true,
    };
    RequestQueue::new(bounds, Duration::from_millis(200))
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn hosts(names: &[&str]) -> HostSet {
    names.iter().map(|name| Arc::from(*name)).collect()
}

fn request(
    id: u64,
    account: u64,
    patience: u64,
) -> WaitingRequest {
    WaitingRequest {
        id,
        account: AccountId(account),
        arrived: ms(id),
        deadline: ms(id + patience),
        bytes: 10,
        hosts: hosts(&["m1", "m2"]),
        prefix: None,
    }
}

#[test]
fn when_full_the_account_that_holds_most_gives_way() {
    let mut queue = queue(10, 100);
    for id in 0..10 {
        assert!(queue.push(ms(id), request(id, 1, 10_000)).is_empty());
    }
    let shed = queue.push(ms(11), request(11, 2, 10_000));
    assert_eq!(shed.len(), 1);
    assert_eq!(shed[0].code, ResultCode::TooManyWaiting);
    assert_eq!(
        shed[0].id, 9,
        "the least urgent request of the account with most"
    );
    assert!(queue.is_waiting(AccountId(2)));
    assert_eq!(queue.len(), 10);
    assert_eq!(queue.bytes(), 100);
}

#[test]
fn an_account_over_its_own_bound_is_refused_at_once() {
    let mut queue = queue(100, 3);
    for id in 0..3 {
        assert!(queue.push(ms(id), request(id, 1, 10_000)).is_empty());
    }
    let shed = queue.push(ms(4), request(4, 1, 10_000));
    assert_eq!((shed[0].id, shed[0].code), (4, ResultCode::TooManyWaiting));
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_at_once_with_a_retry_time() {
    let mut queue = queue(1_000, 1_000);
    let host: Arc<str> = "m1".into();
    for id in 0..60 {
        assert!(queue.push(ms(id), request(id, 1, 60_000)).is_empty());
    }
    // One request starts each 100 ms: 50 more take five seconds.
    for start in 0..10 {
        assert!(
            queue
                .take_for_host(ms(100 + 100 * start), &host, AccountId(1))
                .is_some()
        );
    }
    let now = ms(1_000);
    let impatient = WaitingRequest {
        deadline: now + ms(1_000),
        ..request(100, 1, 0)
    };
    let shed = queue.push(now, impatient);
    assert_eq!(shed[0].code, ResultCode::PatienceTooShort);
    assert!(shed[0].retry_after >= Duration::from_secs(3));
    let patient = WaitingRequest {
        deadline: now + ms(20_000),
        ..request(101, 1, 0)
    };
    assert!(queue.push(now, patient).is_empty());
}

#[test]
fn overdue_requests_are_removed() {
    let mut queue = queue(10, 10);
    queue.push(ms(0), request(0, 1, 50));
    queue.push(ms(1), request(1, 1, 500));
    let overdue = queue.shed_overdue(ms(60));
    assert_eq!(overdue.len(), 1);
    assert_eq!(overdue[0].code, ResultCode::PatienceOver);
    assert_eq!(queue.len(), 1);
}

#[test]
fn the_most_urgent_request_that_the_host_may_serve_answers_a_grant() {
    let mut queue = queue(10, 10);
    queue.push(ms(0), request(0, 1, 9_000));
    let only_m2 = WaitingRequest {
        hosts: hosts(&["m2"]),
        ..request(1, 1, 100)
    };
    queue.push(ms(1), only_m2);
    queue.push(ms(2), request(2, 1, 1_000));
    let m1: Arc<str> = "m1".into();
    let taken = queue.take_for_host(ms(3), &m1, AccountId(1)).map(|r| r.id);
    assert_eq!(taken, Some(2));
    let m3: Arc<str> = "m3".into();
    assert!(queue.take_for_host(ms(3), &m3, AccountId(1)).is_none());
}

#[test]
fn a_cached_prefix_goes_first_only_within_the_age_bound() {
    let m1: Arc<str> = "m1".into();
    let with_prefix = |id, prefix| WaitingRequest {
        prefix: Some(prefix),
        ..request(id, 1, 60_000)
    };
    let mut queue = queue(10, 10);
    queue.push(ms(0), with_prefix(0, 7));
    assert_eq!(
        queue.take_for_host(ms(1), &m1, AccountId(1)).map(|r| r.id),
        Some(0)
    );
    queue.push(ms(10), with_prefix(10, 8));
    queue.push(ms(100), with_prefix(100, 7));
    assert_eq!(
        queue
            .take_for_host(ms(101), &m1, AccountId(1))
            .map(|r| r.id),
        Some(100)
    );
    queue.push(ms(400), with_prefix(400, 7));
    assert_eq!(
        queue
            .take_for_host(ms(401), &m1, AccountId(1))
            .map(|r| r.id),
        Some(10)
    );
}
