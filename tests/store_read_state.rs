//! A router that reads the store for its zone detects by the age of the last answer that the store
//! is unavailable.

use {archmast::direct::StoreReadState, std::time::Duration};

const APPLY: Duration = Duration::from_secs(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_silent_store_is_unavailable_though_no_call_failed() {
    let state = StoreReadState::default();
    state.record_call(ms(1000), true);
    assert!(!state.is_unavailable(ms(2900), APPLY));
    assert!(state.is_unavailable(ms(3100), APPLY));
    assert_eq!(state.answer_age(ms(3100)), Some(ms(2100)));
    state.record_call(ms(3200), true);
    assert!(!state.is_unavailable(ms(3300), APPLY));
}

#[test]
fn a_call_that_failed_counts_for_ten_seconds_unless_a_later_one_is_answered() {
    let state = StoreReadState::default();
    state.record_call(ms(1000), true);
    state.record_call(ms(1500), false);
    assert!(state.is_unavailable(ms(1600), APPLY));
    assert!(state.set_reader(ms(1700), false));
    assert!(state.is_unavailable(ms(11_400), APPLY));
    assert!(!state.is_unavailable(ms(11_600), APPLY));
    state.record_call(ms(12_000), false);
    state.record_call(ms(12_100), true);
    assert!(!state.is_unavailable(ms(12_200), APPLY));
}

#[test]
fn a_router_that_begins_to_read_has_time_for_its_first_call() {
    let state = StoreReadState::default();
    state.record_call(ms(100), true);
    assert!(state.set_reader(ms(200), false));
    assert!(!state.is_unavailable(ms(60_000), APPLY), "it does not read");
    assert!(state.set_reader(ms(60_000), true));
    assert!(!state.is_unavailable(ms(61_900), APPLY));
    assert!(state.is_unavailable(ms(62_100), APPLY));
}

#[test]
fn a_store_that_does_not_answer_a_new_process_is_unavailable_soon() {
    let state = StoreReadState::default();
    assert!(state.is_awaiting_first_answer());
    assert!(!state.is_unavailable(ms(200), APPLY));
    assert!(state.is_unavailable(ms(400), APPLY));
    state.record_call(ms(500), true);
    assert!(!state.is_awaiting_first_answer());
    assert!(!state.is_unavailable(ms(2400), APPLY));
    assert!(state.set_reader(ms(2500), false));
    let never_read = StoreReadState::default();
    assert!(never_read.set_reader(ms(100), false));
    assert!(!never_read.is_awaiting_first_answer());
}
