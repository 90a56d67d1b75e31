use {
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time::sleep},
};

/// How often the scheduling delay is measured.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Measures how late the tasks of the harness run. Times that the harness records may be off
/// by as much.
pub struct Lateness {
    max_ms: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Lateness {
    /// Starts to measure.
    pub fn start() -> Self {
        let max_ms = Arc::new(AtomicU64::new(0));
        let max = max_ms.clone();
        let task = tokio::spawn(async move {
            loop {
                let began = Instant::now();
                sleep(CHECK_INTERVAL).await;
                let late = began.elapsed().saturating_sub(CHECK_INTERVAL);
                max.fetch_max(late.as_millis() as u64, Ordering::Relaxed);
            }
        });
        Self { max_ms, task }
    }

    /// Stops, and returns the longest delay.
    pub fn end(self) -> Duration {
        self.task.abort();
        Duration::from_millis(self.max_ms.load(Ordering::Relaxed))
    }
}
