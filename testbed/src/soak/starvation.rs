use {
    super::world::World,
    std::{
        collections::HashMap,
        fs,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time::sleep},
};

/// How often the routers' waiting is looked at.
const LOOK: Duration = Duration::from_millis(20);

/// For so long a router refuses after it waited for a processor: its own measure of that
/// falls by a third every 20 ms.
const FELT: Duration = Duration::from_millis(500);

/// A router refuses when two of its timers in a row are 60 ms late: it waited this long at
/// least if nothing but the machine kept it from its work.
const REFUSES_AFTER: Duration = Duration::from_millis(120);

/// How long threads of a router were ready to run and had no processor, by the kernel's
/// count: work of the router itself is none of it.
#[derive(Debug, Clone, Default)]
pub struct Starvation {
    waits: HashMap<usize, Vec<(Instant, Duration)>>, // by router, as of when
}

impl Starvation {
    /// A router's slowest thread waited this long since it was last looked at.
    pub fn note(
        &mut self,
        router: usize,
        at: Instant,
        waited: Duration,
    ) {
        self.waits.entry(router).or_default().push((at, waited));
    }

    /// Whether the machine kept a router from its work so long before a moment that it
    /// had to refuse.
    pub fn explains_refusal(
        &self,
        router: usize,
        at: Instant,
    ) -> bool {
        let waits = self.waits.get(&router).into_iter().flatten();
        let before = waits.filter(|(seen, _)| *seen <= at + LOOK && *seen + FELT >= at);
        before.map(|(_, waited)| *waited).sum::<Duration>() >= REFUSES_AFTER
    }

    /// The most that a router waited between two looks.
    pub fn most(&self) -> Duration {
        let waits = self.waits.values().flatten();
        waits.map(|(_, waited)| *waited).max().unwrap_or_default()
    }
}

/// Measures the starvation of a fleet's routers.
pub struct StarvationWatch {
    seen: Arc<Mutex<Starvation>>,
    task: JoinHandle<()>,
}

impl StarvationWatch {
    /// Measures from now on.
    pub fn start(world: Arc<World>) -> Self {
        let seen = Arc::new(Mutex::new(Starvation::default()));
        let noted = seen.clone();
        let task = tokio::spawn(async move {
            let mut before = HashMap::new();
            loop {
                for (router, process) in world.routers.iter().enumerate() {
                    // A router that is being restarted is held: its next look is soon.
                    let Ok(process) = process.try_lock() else {
                        continue;
                    };
                    let waited = waited_since(process.id(), &mut before);
                    let mut seen = noted.lock().expect("starvation lock");
                    seen.note(router, Instant::now(), waited);
                }
                sleep(LOOK).await;
            }
        });
        Self { seen, task }
    }

    /// What was seen.
    pub fn end(self) -> Starvation {
        self.task.abort();
        self.seen.lock().expect("starvation lock").clone()
    }
}

/// How long the thread of a process that waited most did so since `before`. A kernel that
/// does not count it tells nothing, and then nothing is explained.
fn waited_since(
    process: u32,
    before: &mut HashMap<String, Duration>,
) -> Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{process}/task")) else {
        return Duration::ZERO;
    };
    let mut most = Duration::ZERO;
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
        most = most.max(waited.saturating_sub(known.unwrap_or(waited)));
    }
    most
}
