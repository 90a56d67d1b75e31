//! When a router asks another for news of the catalog that the store did not tell it.

use {
    archmast::{catalog::CatalogVersion, peers::Behind},
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

/// A replica is listed as starting slowly a second before it serves. The readers of a zone
/// hear of it from the store; those of another zone, whose connections fell silent, from
/// them, and their fellows after them: each step has half of that second at most, and takes
/// a question and its answer besides.
#[test]
fn a_reader_whose_connection_to_the_store_fell_silent_asks_in_time() {
    let mut behind = Behind::default();
    let mut now = START;
    while !behind.should_ask(now, version(1), Some(version(2)), true) {
        now += TICK;
    }
    assert!(
        now - START <= Duration::from_millis(250),
        "{:?}",
        now - START
    );
    assert!(Behind::default().should_ask(START, version(1), Some(version(2)), false));
}

/// Load: fifty changes a second for ten seconds, which the store tells this router 60 ms
/// after others.
#[test]
fn a_reader_that_keeps_up_with_many_changes_asks_nobody() {
    let mut behind = Behind::default();
    for tick in 0..1000_u32 {
        let now = START + TICK * tick;
        let theirs = version(u64::from(tick / 2) + 10);
        let ours = version(theirs.upstreams - 3);
        assert!(
            !behind.should_ask(now, ours, Some(theirs), true),
            "tick {tick}"
        );
    }
}

/// A router that got the first change and waits for the second has its time anew, and what
/// it asked for may take some.
#[test]
fn patience_begins_anew_with_each_change_and_each_question() {
    let mut behind = Behind::default();
    let ms = |ms| START + Duration::from_millis(ms);
    assert!(!behind.should_ask(ms(0), version(1), Some(version(2)), true));
    assert!(!behind.should_ask(ms(140), version(2), Some(version(3)), true));
    assert!(!behind.should_ask(ms(280), version(2), Some(version(3)), true));
    assert!(behind.should_ask(ms(300), version(2), Some(version(3)), true));
    behind.asked();
    assert!(!behind.should_ask(ms(310), version(2), Some(version(3)), true));
    assert!(!behind.should_ask(ms(320), version(3), None, true));
}
