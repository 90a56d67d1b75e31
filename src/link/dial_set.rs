use {
    super::{DialTarget, Link, LinkHandler},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::task::JoinHandle,
};

/// The first pause between attempts; it doubles up to the setting.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// A connection that lasted this long resets the pause.
const LASTED: Duration = Duration::from_secs(2);

/// The peers that a process keeps itself connected to.
pub struct DialSet<H> {
    link: Arc<Link<H>>,
    longest_pause: Duration,
    tasks: Mutex<HashMap<DialTarget, JoinHandle<()>>>, // a leaf lock
}

impl<H: LinkHandler> DialSet<H> {
    /// Connects to nothing yet. Pauses are random below `longest_pause`, so
    /// that a zone that comes back is not met by all at once.
    pub fn new(
        link: Arc<Link<H>>,
        longest_pause: Duration,
    ) -> Self {
        Self {
            link,
            longest_pause,
            tasks: Mutex::default(),
        }
    }

    /// Connects to these targets, and stops trying others. Connections that
    /// stand are left alone: they end when the peer does.
    pub fn set(
        &self,
        targets: Vec<DialTarget>,
    ) {
        let mut tasks = self.tasks.lock().expect("dial lock");
        tasks.retain(|target, task| {
            let keep = targets.contains(target);
            if !keep {
                task.abort();
            }
            keep
        });
        for target in targets {
            tasks.entry(target.clone()).or_insert_with(|| {
                let link = self.link.clone();
                tokio::spawn(keep_connected(link, target, self.longest_pause))
            });
        }
    }

    /// Adds one target.
    pub fn add(
        &self,
        target: DialTarget,
    ) {
        let mut targets: Vec<DialTarget> = {
            let tasks = self.tasks.lock().expect("dial lock");
            tasks.keys().cloned().collect()
        };
        if !targets.contains(&target) {
            targets.push(target);
            self.set(targets);
        }
    }
}

async fn keep_connected<H: LinkHandler>(
    link: Arc<Link<H>>,
    target: DialTarget,
    longest_pause: Duration,
) {
    let mut bound = FIRST_PAUSE;
    loop {
        let started = Instant::now();
        if let Err(error) = link.dial(&target).await {
            log::debug!(code = error.code.number(); "to {}: {error}", target.name);
        }
        bound = if started.elapsed() > LASTED {
            FIRST_PAUSE
        } else {
            (bound * 2).min(longest_pause)
        };
        tokio::time::sleep(bound.mul_f64(rand::random::<f64>())).await;
    }
}
