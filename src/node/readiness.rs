use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// How many peers a starting process hears before it trusts its revision.
pub const PEERS_ASKED: usize = 3;

/// Whether a process may serve: it has a configuration, and has asked its
/// peers for a newer one.
#[derive(Default)]
pub struct Readiness {
    heard: Mutex<HashSet<Arc<str>>>, // hosts that we are not behind; a leaf lock
    asked: AtomicBool,
}

impl Readiness {
    /// Notes that a peer that knows the newest has nothing newer, or has given it.
    pub fn heard_peer(
        &self,
        host: &Arc<str>,
    ) {
        if !self.has_asked() {
            let mut heard = self.heard.lock().expect("heard lock");
            heard.insert(host.clone());
        }
    }

    /// Whether peers were asked for long enough.
    pub fn has_asked(&self) -> bool {
        self.asked.load(Ordering::SeqCst)
    }

    /// Decides, given how many peers the host list has and how long the
    /// process has had it. Once true it stays true.
    pub fn decide(
        &self,
        listed_peers: usize,
        waited: Duration,
        bound: Duration,
    ) -> bool {
        let wanted = listed_peers.min(PEERS_ASKED);
        let heard = self.heard.lock().expect("heard lock").len();
        if heard >= wanted || waited >= bound {
            self.asked.store(true, Ordering::SeqCst);
        }
        self.has_asked()
    }
}
