//! What callers' connections take is counted, and which are closed when it is too much.

use {
    archmast::{
        callers::{BodyFraming, CallerLedger, CallerSlot, ConnectionUse},
        policy::callers::{ConnectionLoad, Phase, Usage, choose_evicted},
    },
    futures::FutureExt,
    proptest::prelude::*,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinSet, time::timeout},
};

/// More than any connection takes in these tests.
const LARGE: u64 = 1 << 20;

fn load(
    id: u64,
    phase: Phase,
    age_ms: u64,
) -> ConnectionLoad {
    ConnectionLoad {
        id,
        phase,
        age: Duration::from_millis(age_ms),
        usage: Usage {
            bytes: 100,
            descriptors: 1,
        },
        waits_for_caller: false,
    }
}

fn ids(evicted: &[ConnectionLoad]) -> Vec<u64> {
    evicted.iter().map(|load| load.id).collect()
}

fn bytes(bytes: u64) -> Usage {
    Usage {
        bytes,
        descriptors: 0,
    }
}

#[test]
fn those_that_keep_room_without_a_request_are_closed_first() {
    let loads = [
        load(1, Phase::Answering, 60_000),
        load(2, Phase::Idle, 299),
        load(3, Phase::Idle, 5_000),
        load(4, Phase::Receiving, 10),
        load(5, Phase::Receiving, 2_000),
        load(6, Phase::Receiving, 3_000),
        load(7, Phase::Refused, 1),
        ConnectionLoad {
            waits_for_caller: true,
            ..load(8, Phase::Answering, 1)
        },
    ];
    let all = choose_evicted(loads, bytes(10_000));
    assert_eq!(ids(&all), [7, 6, 5, 3, 4, 8]);
    assert_eq!(ids(&choose_evicted(loads, bytes(101))), [7, 6]);
    let descriptors = Usage {
        bytes: 0,
        descriptors: 3,
    };
    assert_eq!(ids(&choose_evicted(loads, descriptors)), [7, 6, 5]);
    assert!(choose_evicted(loads, Usage::default()).is_empty());
}

proptest! {
    #[test]
    fn no_more_are_closed_than_is_needed_and_no_answer_that_is_awaited(
        phases in proptest::collection::vec((0_u8..4, 0_u64..4_000, 1_u64..1_000), 0..60),
        excess in 0_u64..20_000,
    ) {
        let loads = phases.iter().enumerate().map(|(id, (phase, age, bytes))| ConnectionLoad {
            usage: Usage { bytes: *bytes, descriptors: 1 },
            ..load(id as u64, Phase::from_number(*phase), *age)
        });
        let evicted = choose_evicted(loads, bytes(excess));
        prop_assert!(evicted.iter().all(|load| load.phase != Phase::Answering));
        let all_but_last = evicted.iter().rev().skip(1);
        prop_assert!(all_but_last.map(|load| load.usage.bytes).sum::<u64>() < excess.max(1));
    }
}

/// Whether the connection was told to close.
fn is_closing(slot: &CallerSlot) -> bool {
    slot.closed().now_or_never().is_some()
}

#[tokio::test]
async fn as_many_connections_are_closed_as_room_is_needed_for() {
    let ledger = CallerLedger::new(20 * LARGE, Vec::new());
    let mut connections = Vec::new();
    for _ in 0..18 {
        let slot = ledger.open().await.expect("room");
        slot.set_phase(Phase::Receiving);
        slot.set_buffered(LARGE);
        connections.push(slot);
    }
    assert!(connections.iter().all(|slot| !is_closing(slot)));
    let one = ledger.open().await.expect("room");
    one.set_phase(Phase::Receiving);
    one.set_buffered(3 * LARGE);
    let closing = connections.iter().filter(|slot| is_closing(slot));
    let closing = closing.count();
    assert!((1..=3).contains(&closing), "{closing} are closed");
    assert!(!is_closing(&one));
}

#[tokio::test]
async fn without_anybody_to_close_new_connections_and_requests_are_refused() {
    let held = Arc::new(AtomicU64::new(0));
    let ledger = CallerLedger::new(LARGE, vec![held.clone()]);
    let slot = ledger.open().await.expect("room");
    slot.set_phase(Phase::Answering);
    assert!(slot.admits_request());
    held.store(LARGE, Ordering::Relaxed);
    assert!(!slot.admits_request());
    assert!(!is_closing(&slot));
    assert!(ledger.open().await.is_none());
    held.store(0, Ordering::Relaxed);
    assert!(slot.admits_request());
    assert!(ledger.open().await.is_some());
}

#[tokio::test]
async fn what_a_connection_took_is_free_once_it_is_gone() {
    let ledger = CallerLedger::new(LARGE, Vec::new());
    for _ in 0..100 {
        let slot = ledger.open().await.expect("room");
        let connection = ConnectionUse::new(slot);
        connection.record_read(400, 0);
        let progress = connection.start_request(10, BodyFraming::Chunks);
        progress.record_request(LARGE as usize / 2);
        progress.record_sending();
        progress.record_end();
        connection.end_request();
    }
    assert!(ledger.has_room());
}

/// Guards against the loss of a request that comes between the choice of its connection and the close.
#[tokio::test]
async fn a_connection_that_has_got_a_request_since_it_was_chosen_stays_open() {
    let ledger = CallerLedger::new(2 * LARGE, Vec::new());
    let [first, second] = [(); 2].map(|()| ledger.open().now_or_never().flatten().expect("room"));
    first.set_phase(Phase::Receiving);
    first.set_buffered(LARGE);
    second.set_phase(Phase::Answering);
    second.set_buffered(LARGE);
    first.set_phase(Phase::Answering);
    assert!(!is_closing(&first));
    // It is still too much, and it can be chosen again.
    first.set_phase(Phase::Receiving);
    assert!(ledger.has_room());
    assert!(is_closing(&first));
}

/// Guards against connections that two threads tell to close, counted as leaving twice: new ones
/// would wait for room that does not come.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_that_several_threads_close_are_counted_once() {
    const AT_ONCE: usize = 40;
    let ledger = CallerLedger::new(AT_ONCE as u64 * LARGE, Vec::new());
    let mut threads = JoinSet::new();
    for _ in 0..4 {
        let ledger = ledger.clone();
        threads.spawn(async move {
            let mut connections = JoinSet::new();
            for _ in 0..2_000 {
                if let Some(slot) = ledger.open().await {
                    slot.set_phase(Phase::Receiving);
                    slot.set_buffered(LARGE);
                    connections.spawn(async move { slot.closed().await });
                }
            }
            connections.shutdown().await;
        });
    }
    let ended = timeout(Duration::from_secs(30), threads.join_all()).await;
    assert!(ended.is_ok(), "connections wait for others that are gone");
    let opened = ledger.open().now_or_never();
    assert!(opened.is_some_and(|slot| slot.is_some()));
}

#[tokio::test]
async fn a_body_is_due_until_its_own_end() {
    let ledger = CallerLedger::new(LARGE, Vec::new());
    let slot = ledger.open().await.expect("room");
    let connection = ConnectionUse::new(slot.clone());
    connection.record_read(100, 0);
    assert!(connection.is_reading_head());
    let first = connection.start_request(1, BodyFraming::Length(500));
    first.record_refusal();
    connection.end_request();
    assert_eq!(slot.phase(), Phase::Refused);
    assert!(connection.is_body_due());
    connection.record_read(100, 0);
    assert!(!connection.is_reading_head(), "bytes of a body are no head");
    let second = connection.start_request(1, BodyFraming::Length(500));
    // The reader of the first body may notice its end late.
    first.record_end();
    assert!(connection.is_body_due());
    second.record_end();
    assert!(!connection.is_body_due());
    assert_eq!(slot.phase(), Phase::Answering);
}
