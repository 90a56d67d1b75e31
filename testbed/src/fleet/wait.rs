use std::time::{Duration, Instant};

/// How often a condition is looked at.
const POLL: Duration = Duration::from_millis(10);

/// After this long a condition counts as never met. It bounds a failing run
/// and says nothing about speed.
const NEVER: Duration = Duration::from_secs(60);

/// Waits until a condition holds.
pub async fn until(
    what: &str,
    mut condition: impl FnMut() -> bool,
) {
    until_async(what, async || condition()).await;
}

/// Waits until a condition holds that itself must wait to be known.
pub async fn until_async(
    what: &str,
    mut condition: impl AsyncFnMut() -> bool,
) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < NEVER, "never came true: {what}");
        tokio::time::sleep(POLL).await;
    }
}
