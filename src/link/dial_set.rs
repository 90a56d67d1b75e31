use {
    super::{DialTarget, Link, LinkHandler},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// The first pause between attempts; it doubles up to the setting.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// A connection that lasted this long resets the pause.
const LASTED: Duration = Duration::from_secs(2);

/// Whether each target is still wanted. A target that is not wanted stays until its task
/// has ended.
type Wanted = Arc<Mutex<HashMap<DialTarget, bool>>>;

/// The peers that a process keeps itself connected to.
pub struct DialSet<H> {
    link: Arc<Link<H>>,
    longest_pause: Duration,
    wanted: Wanted, // a leaf lock
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
            wanted: Wanted::default(),
        }
    }

    /// Connects to these targets, and stops trying others. Connections that
    /// stand are left alone: they end when the peer does. Ending the task of one cut the
    /// requests on it (one of eight, each time, when its host was said to leave).
    pub fn set(
        &self,
        targets: Vec<DialTarget>,
    ) {
        let mut wanted = self.wanted.lock().expect("dial lock");
        for (target, is_wanted) in wanted.iter_mut() {
            *is_wanted = targets.contains(target);
        }
        for target in targets {
            if wanted.insert(target.clone(), true).is_none() {
                let link = self.link.clone();
                let wanted = self.wanted.clone();
                tokio::spawn(keep_connected(link, target, self.longest_pause, wanted));
            }
        }
    }

    /// Adds one target.
    pub fn add(
        &self,
        target: DialTarget,
    ) {
        let mut targets: Vec<DialTarget> = {
            let wanted = self.wanted.lock().expect("dial lock");
            let kept = wanted.iter().filter(|(_, is_wanted)| **is_wanted);
            kept.map(|(target, _)| target.clone()).collect()
        };
        if !targets.contains(&target) {
            targets.push(target);
            self.set(targets);
        }
    }
}

/// Connects again whenever the connection has ended, for as long as the target is wanted.
async fn keep_connected<H: LinkHandler>(
    link: Arc<Link<H>>,
    target: DialTarget,
    longest_pause: Duration,
    wanted: Wanted,
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
        if ends_unwanted(&wanted, &target) {
            return;
        }
    }
}

/// Whether a target is not wanted any more; it is forgotten then.
fn ends_unwanted(
    wanted: &Wanted,
    target: &DialTarget,
) -> bool {
    let mut wanted = wanted.lock().expect("dial lock");
    let ends = wanted.get(target) == Some(&false);
    if ends {
        wanted.remove(target);
    }
    ends
}
