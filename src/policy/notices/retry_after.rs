use std::time::Duration;

/// Longer times are cut to this. A refusal means a temporary lack of capacity; to take a replica
/// out for longer is up to the operator, who has drains and cordons, and would investigate a
/// replica that gets nothing for half a minute. One that still lacks capacity then refuses one
/// request of each router without running it, and gets no more for a while again.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Parses the `Retry-After` of a refusal: decimal seconds, with or without a fraction. Returns
/// `None` for anything else. A date is not accepted, as a replica's clock may differ from this
/// host's.
pub fn parse_retry_after(text: &str) -> Option<Duration> {
    let text = text.trim();
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number = |part: &str| !part.is_empty() && part.bytes().all(|c| c.is_ascii_digit());
    if !is_number(whole) || !is_number(fraction) {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    Some(Duration::from_secs_f64(
        seconds.min(MAX_BACKOFF.as_secs_f64()),
    ))
}
