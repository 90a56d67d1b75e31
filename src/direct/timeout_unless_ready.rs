use {std::time::Duration, tokio::time::timeout};

/// How long reading what has already arrived may take after a time-out. When a process resumes
/// after a suspension or a wait for the processor, its timers fire before its sockets are read.
const READING_TIME: Duration = Duration::from_millis(5);

/// Waits for `awaited` up to `limit`. What arrived in time, or while the process did not run, is
/// still returned. `None` on time-out.
pub async fn timeout_unless_ready<T>(
    limit: Duration,
    awaited: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(awaited);
    if let Ok(output) = timeout(limit, &mut awaited).await {
        return Some(output);
    }
    timeout(READING_TIME, awaited).await.ok()
}
