use std::time::{Duration, Instant};

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time after which a wait panics. It only bounds failing runs, so that it is far longer
/// than any condition should take.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until a condition holds. Panics with `what` if it does not within a minute.
pub async fn wait_until(
    what: &str,
    mut condition: impl FnMut() -> bool,
) {
    wait_until_async(what, async || condition()).await;
}

/// Waits until an asynchronous condition holds. Panics with `what` if it does not within
/// a minute.
pub async fn wait_until_async(
    what: &str,
    mut condition: impl AsyncFnMut() -> bool,
) {
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "condition not met within {WAIT_TIMEOUT:?}: {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
