use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Number of peers that confirm the configuration of a starting process, if so many are listed.
pub const PEERS_TO_CONFIRM: usize = 3;

/// Whether the configuration of a starting process is confirmed: enough peers have none that is
/// newer, or the time to ask them has passed.
#[derive(Default)]
pub struct Readiness {
    /// Hosts without a newer configuration. A leaf lock: no other lock is taken under it.
    confirmed_by: Mutex<HashSet<Arc<str>>>,
    confirmed: AtomicBool,
}

impl Readiness {
    /// Records that a peer whose own configuration is confirmed has none that is newer than this
    /// process's, or has sent it.
    pub fn record_confirmation(
        &self,
        host: &Arc<str>,
    ) {
        if !self.is_confirmed() {
            let mut confirmed_by = self.confirmed_by.lock().expect("confirmed_by lock");
            confirmed_by.insert(host.clone());
        }
    }

    /// Whether the configuration is confirmed.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.load(Ordering::SeqCst)
    }

    /// Decides whether the configuration is confirmed: by [`PEERS_TO_CONFIRM`] peers, by all if
    /// fewer are listed, or without them once `waited` reaches `bound`. Once true it stays true.
    pub fn decide(
        &self,
        listed_peers: usize,
        waited: Duration,
        bound: Duration,
    ) -> bool {
        let needed = listed_peers.min(PEERS_TO_CONFIRM);
        let confirmations = self.confirmed_by.lock().expect("confirmed_by lock").len();
        if confirmations >= needed || waited >= bound {
            self.confirmed.store(true, Ordering::SeqCst);
        }
        self.is_confirmed()
    }
}
