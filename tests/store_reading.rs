//! A router that reads the store for its zone is known to have lost it by the age of
//! the store's last answer.

use {archmast::direct::StoreReadState, std::time::Duration};

const APPLY: Duration = Duration::from_secs(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_reader_whose_store_is_silent_has_lost_it_though_no_call_failed() {
    let reading = StoreReadState::default();
    reading.record_call(ms(1000), true);
    assert!(!reading.is_unavailable(ms(2900), APPLY));
    assert!(reading.is_unavailable(ms(3100), APPLY));
    assert_eq!(reading.answer_age(ms(3100)), Some(ms(2100)));
    reading.record_call(ms(3200), true);
    assert!(!reading.is_unavailable(ms(3300), APPLY));
}

#[test]
fn a_call_that_failed_counts_for_ten_seconds_unless_a_later_one_is_answered() {
    let reading = StoreReadState::default();
    reading.record_call(ms(1000), true);
    reading.record_call(ms(1500), false);
    assert!(reading.is_unavailable(ms(1600), APPLY));
    assert!(reading.set_reader(ms(1700), false));
    assert!(reading.is_unavailable(ms(11_400), APPLY));
    assert!(!reading.is_unavailable(ms(11_600), APPLY));
    reading.record_call(ms(12_000), false);
    reading.record_call(ms(12_100), true);
    assert!(!reading.is_unavailable(ms(12_200), APPLY));
}

#[test]
fn a_router_that_begins_to_read_has_time_for_its_first_call() {
    let reading = StoreReadState::default();
    reading.record_call(ms(100), true);
    assert!(reading.set_reader(ms(200), false));
    assert!(
        !reading.is_unavailable(ms(60_000), APPLY),
        "it does not read"
    );
    assert!(reading.set_reader(ms(60_000), true));
    assert!(!reading.is_unavailable(ms(61_900), APPLY));
    assert!(reading.is_unavailable(ms(62_100), APPLY));
}
