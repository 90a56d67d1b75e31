use {super::replica_json::slow_start_time, hyper::HeaderMap, std::time::Duration};

/// The header of a health answer with the milliseconds for which the replica is still slow.
const SLOW_START_HEADER: &str = "archmast-cold-ms";

/// Reads how long a replica's slow start still takes; zero if it does not say.
pub fn read_slow_start(headers: &HeaderMap) -> Duration {
    let text = headers
        .get(SLOW_START_HEADER)
        .and_then(|value| value.to_str().ok());
    let millis = text.and_then(|text| text.trim().parse().ok());
    slow_start_time(millis.unwrap_or(0.0))
}
