//! What a replica's health answer says of its slow start. What is no time is not believed.

use {archmast::platform::read_slow_start, hyper::HeaderMap, std::time::Duration};

fn slow_start(text: &str) -> Duration {
    let mut headers = HeaderMap::new();
    headers.insert("archmast-cold-ms", text.parse().expect("a header"));
    read_slow_start(&headers)
}

#[test]
fn the_rest_of_a_slow_start_is_read_and_what_is_no_time_counts_as_none() {
    assert_eq!(slow_start("2500"), Duration::from_millis(2500));
    assert_eq!(slow_start(" 0.5 "), Duration::from_micros(500));
    assert_eq!(read_slow_start(&HeaderMap::new()), Duration::ZERO);
    for text in ["", "soon", "-1", "NaN", "inf", "1e300"] {
        assert_eq!(slow_start(text), Duration::ZERO, "{text}");
    }
    // No replica is slow for hours.
    assert!(slow_start("99999999999") <= Duration::from_secs(3600));
}
