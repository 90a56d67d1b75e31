use {
    super::fleet_under_test::FleetUnderTest,
    std::{
        collections::HashMap,
        fs,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time::sleep},
};

/// How often the routers' waiting times are read.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long a router refuses requests after it waited for a processor. Its own measure of
/// lateness falls by a third every 20 ms.
const REFUSES_FOR: Duration = Duration::from_millis(500);

/// Shortest wait for a processor that explains a refusal: a router refuses when two of its
/// timers in a row are 60 ms late.
const MIN_WAIT_TO_REFUSE: Duration = Duration::from_millis(120);

/// How long threads of each router were ready to run and had no processor, as counted by the
/// kernel. Time in which the router itself ran does not count.
#[derive(Debug, Clone, Default)]
pub struct Starvation {
    waits: HashMap<usize, Vec<(Instant, Duration)>>, // time read and wait, by router
}

impl Starvation {
    /// Records how long the longest waiting thread of a router waited since the previous reading.
    pub fn record_wait(
        &mut self,
        router: usize,
        at: Instant,
        waited: Duration,
    ) {
        self.waits.entry(router).or_default().push((at, waited));
    }

    /// Whether a router waited for a processor long enough before `at` that it had to refuse
    /// requests.
    pub fn explains_refusal(
        &self,
        router: usize,
        at: Instant,
    ) -> bool {
        let waits = self.waits.get(&router).into_iter().flatten();
        let before =
            waits.filter(|(seen, _)| *seen <= at + CHECK_INTERVAL && *seen + REFUSES_FOR >= at);
        before.map(|(_, waited)| *waited).sum::<Duration>() >= MIN_WAIT_TO_REFUSE
    }

    /// Longest wait of a router between two readings.
    pub fn max_wait(&self) -> Duration {
        let waits = self.waits.values().flatten();
        waits.map(|(_, waited)| *waited).max().unwrap_or_default()
    }
}

/// Reads the waiting times of a fleet's routers periodically.
pub struct StarvationWatch {
    seen: Arc<Mutex<Starvation>>,
    task: JoinHandle<()>,
}

impl StarvationWatch {
    /// Starts to measure.
    pub fn start(fleet_under_test: Arc<FleetUnderTest>) -> Self {
        let seen = Arc::new(Mutex::new(Starvation::default()));
        let recorded = seen.clone();
        let task = tokio::spawn(async move {
            let mut before = HashMap::new();
            loop {
                for (router, process) in fleet_under_test.routers.iter().enumerate() {
                    // The lock is taken while a router restarts; skip this reading.
                    let Ok(process) = process.try_lock() else {
                        continue;
                    };
                    let waited = waited_since(process.id(), &mut before);
                    let mut seen = recorded.lock().expect("starvation lock");
                    seen.record_wait(router, Instant::now(), waited);
                }
                sleep(CHECK_INTERVAL).await;
            }
        });
        Self { seen, task }
    }

    /// Stops, and returns what was measured.
    pub fn end(self) -> Starvation {
        self.task.abort();
        self.seen.lock().expect("starvation lock").clone()
    }
}

/// Longest wait of a thread of the process since the totals in `before`, which are updated.
/// Zero where the kernel does not provide the count.
fn waited_since(
    process: u32,
    before: &mut HashMap<String, Duration>,
) -> Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{process}/task")) else {
        return Duration::ZERO;
    };
    let mut max_wait = Duration::ZERO;
    for thread in threads.flatten() {
        let path = thread.path().join("schedstat");
        let Ok(text) = fs::read_to_string(&path) else {
            continue;
        };
        let waited = text.split_whitespace().nth(1);
        let Some(nanos) = waited.and_then(|nanos| nanos.parse().ok()) else {
            continue;
        };
        let waited = Duration::from_nanos(nanos);
        let known = before.insert(path.to_string_lossy().into_owned(), waited);
        max_wait = max_wait.max(waited.saturating_sub(known.unwrap_or(waited)));
    }
    max_wait
}
