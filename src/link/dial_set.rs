use {
    super::{DialTarget, Link, LinkHandler},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// The first upper bound of the random pause between attempts. It doubles up to
/// `max_backoff`.
const MIN_BACKOFF_LIMIT: Duration = Duration::from_millis(50);

/// A connection that lasted longer than this resets the pause.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(2);

/// Each target with whether it is still wanted. An unwanted target stays in the map until
/// its task has ended.
type WantedTargets = Arc<Mutex<HashMap<DialTarget, bool>>>;

/// The peers that a process stays connected to.
pub struct DialSet<H> {
    link: Arc<Link<H>>,
    max_backoff: Duration,
    wanted: WantedTargets, // leaf lock
}

impl<H: LinkHandler> DialSet<H> {
    /// An empty set. The pauses between attempts are random, up to `max_backoff`, so that a
    /// zone that recovers is not dialed by all processes at once.
    pub fn new(
        link: Arc<Link<H>>,
        max_backoff: Duration,
    ) -> Self {
        Self {
            link,
            max_backoff,
            wanted: WantedTargets::default(),
        }
    }

    /// Connects to these targets, and stops reconnecting to all others. Open connections stay
    /// open until the peer ends them: closing one cuts the requests on it (one in eight when a
    /// host was leaving).
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
                tokio::spawn(keep_connected(link, target, self.max_backoff, wanted));
            }
        }
    }

    /// Adds one target to the set.
    pub fn add(
        &self,
        target: DialTarget,
    ) {
        let mut targets: Vec<DialTarget> = {
            let wanted = self.wanted.lock().expect("dial lock");
            let wanted_targets = wanted.iter().filter(|(_, is_wanted)| **is_wanted);
            wanted_targets.map(|(target, _)| target.clone()).collect()
        };
        if !targets.contains(&target) {
            targets.push(target);
            self.set(targets);
        }
    }
}

/// Reconnects whenever the connection has ended, as long as the target is wanted.
async fn keep_connected<H: LinkHandler>(
    link: Arc<Link<H>>,
    target: DialTarget,
    max_backoff: Duration,
    wanted: WantedTargets,
) {
    let mut backoff_limit = MIN_BACKOFF_LIMIT;
    loop {
        let started = Instant::now();
        if let Err(error) = link.dial(&target).await {
            log::debug!(code = error.code.number(); "to {}: {error}", target.name);
        }
        backoff_limit = if started.elapsed() > BACKOFF_RESET_AFTER {
            MIN_BACKOFF_LIMIT
        } else {
            (backoff_limit * 2).min(max_backoff)
        };
        tokio::time::sleep(backoff_limit.mul_f64(rand::random::<f64>())).await;
        if remove_if_unwanted(&wanted, &target) {
            return;
        }
    }
}

/// Removes the target if it is no longer wanted. True if it was removed.
fn remove_if_unwanted(
    wanted: &WantedTargets,
    target: &DialTarget,
) -> bool {
    let mut wanted = wanted.lock().expect("dial lock");
    let is_unwanted = wanted.get(target) == Some(&false);
    if is_unwanted {
        wanted.remove(target);
    }
    is_unwanted
}
