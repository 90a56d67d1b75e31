use std::time::Duration;

/// A longer rest than this is taken for this long. A refusal speaks of a passing lack of
/// room; to take a replica out for longer is for the operator, who has drains and cordons,
/// and would look into a replica that gets nothing for half a minute. One that still lacks
/// room then turns one request of each router away, unrun, and is left alone anew.
const LONGEST_REST: Duration = Duration::from_secs(30);

/// The time that a refusal's `Retry-After` asks for: plain decimal seconds. Nothing else is
/// an answer to how long, not even a date: a replica's clock is not this host's.
pub fn asked_rest(text: &str) -> Option<Duration> {
    let text = text.trim();
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number = |part: &str| !part.is_empty() && part.bytes().all(|c| c.is_ascii_digit());
    if !is_number(whole) || !is_number(fraction) {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    Some(Duration::from_secs_f64(
        seconds.min(LONGEST_REST.as_secs_f64()),
    ))
}
