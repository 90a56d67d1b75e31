//! When a router requests a catalog update from a peer because the store has not sent it.

use {
    archmast::{catalog::CatalogVersion, peers::CatchUpTimer},
    std::time::Duration,
};

const TICK: Duration = Duration::from_millis(10);
const START: Duration = Duration::from_secs(100);

fn version(upstreams: u64) -> CatalogVersion {
    CatalogVersion {
        config: 1,
        upstreams,
    }
}

/// A replica is listed as starting slowly one second before it serves. Readers of one zone get that
/// from the store; readers of another zone, whose connections to it fell silent, from those; and
/// the other routers of that zone from their readers. Each of these two steps may take half of that
/// second at most, including a request and its answer.
#[test]
fn a_reader_whose_connection_to_the_store_fell_silent_asks_in_time() {
    let mut timer = CatchUpTimer::default();
    let mut now = START;
    while !timer.should_ask(now, version(1), Some(version(2)), true) {
        now += TICK;
    }
    assert!(
        now - START <= Duration::from_millis(250),
        "{:?}",
        now - START
    );
    assert!(CatchUpTimer::default().should_ask(START, version(1), Some(version(2)), false));
}

/// Fifty changes per second for ten seconds, which the store sends to this router 60 ms after
/// others.
#[test]
fn a_reader_that_keeps_up_with_many_changes_asks_nobody() {
    let mut timer = CatchUpTimer::default();
    for tick in 0..1000_u32 {
        let now = START + TICK * tick;
        let theirs = version(u64::from(tick / 2) + 10);
        let own = version(theirs.upstreams - 3);
        assert!(
            !timer.should_ask(now, own, Some(theirs), true),
            "tick {tick}"
        );
    }
}

/// The wait starts again for a router that got one change and waits for the next, and after a
/// request for an update.
#[test]
fn the_wait_restarts_with_each_change_and_each_request() {
    let mut timer = CatchUpTimer::default();
    let ms = |ms| START + Duration::from_millis(ms);
    assert!(!timer.should_ask(ms(0), version(1), Some(version(2)), true));
    assert!(!timer.should_ask(ms(140), version(2), Some(version(3)), true));
    assert!(!timer.should_ask(ms(280), version(2), Some(version(3)), true));
    assert!(timer.should_ask(ms(300), version(2), Some(version(3)), true));
    timer.reset();
    assert!(!timer.should_ask(ms(310), version(2), Some(version(3)), true));
    assert!(!timer.should_ask(ms(320), version(3), None, true));
}
