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

/// How often the harness looks how late it is.
const LOOK: Duration = Duration::from_millis(20);

/// Measures how late the harness's own tasks run: what it says of times is off by as
/// much.
pub struct Lateness {
    most_ms: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Lateness {
    /// Measures from now on.
    pub fn start() -> Self {
        let most_ms = Arc::new(AtomicU64::new(0));
        let most = most_ms.clone();
        let task = tokio::spawn(async move {
            loop {
                let began = Instant::now();
                sleep(LOOK).await;
                let late = began.elapsed().saturating_sub(LOOK);
                most.fetch_max(late.as_millis() as u64, Ordering::Relaxed);
            }
        });
        Self { most_ms, task }
    }

    /// The most that it was late.
    pub fn end(self) -> Duration {
        self.task.abort();
        Duration::from_millis(self.most_ms.load(Ordering::Relaxed))
    }
}
