use {
    crate::{catalog::CatalogVersion, policy::Moment},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
};

/// The routers that this one knows of, by address.
pub struct PeerTable {
    own: SocketAddr,
    peers: Mutex<BTreeMap<SocketAddr, PeerEntry>>, // a leaf lock
}

/// What is known of one router.
#[derive(Debug, Clone, Copy, Default)]
struct PeerEntry {
    is_seed: bool,
    told: Moment,          // when it was first named
    heard: Option<Moment>, // its own last report
    incarnation: u64,
    sequence: u64,
    leaving: bool,
    version: CatalogVersion,
}

impl PeerTable {
    /// A table of the seeds, which may be stale; this router itself is left out.
    pub fn new(
        own: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let seeds = seeds.iter().filter(|seed| **seed != own);
        let seed = PeerEntry {
            is_seed: true,
            ..PeerEntry::default()
        };
        Self {
            own,
            peers: Mutex::new(seeds.map(|address| (*address, seed)).collect()),
        }
    }

    /// Takes in seeds that changed.
    pub fn add_seeds(
        &self,
        seeds: &[SocketAddr],
    ) {
        let mut peers = self.peers();
        for address in seeds.iter().filter(|seed| **seed != self.own) {
            peers.entry(*address).or_default().is_seed = true;
        }
    }

    /// Takes in a router's own report. False if a later one was heard before.
    pub fn hear(
        &self,
        now: Moment,
        address: SocketAddr,
        incarnation: u64,
        sequence: u64,
        leaving: bool,
        version: CatalogVersion,
    ) -> bool {
        if address == self.own {
            return false;
        }
        let mut peers = self.peers();
        let entry = peers.entry(address).or_default();
        if (entry.incarnation, entry.sequence) >= (incarnation, sequence) {
            return false;
        }
        if entry.incarnation != incarnation {
            log::info!(peer = address.to_string().as_str(), incarnation = incarnation; "router heard of");
        }
        *entry = PeerEntry {
            heard: Some(now),
            incarnation,
            sequence,
            leaving,
            version,
            ..*entry
        };
        true
    }

    /// A peer named these routers.
    pub fn learn(
        &self,
        now: Moment,
        routers: &[SocketAddr],
    ) {
        let mut peers = self.peers();
        for address in routers {
            if *address != self.own {
                let new = PeerEntry {
                    told: now,
                    ..PeerEntry::default()
                };
                peers.entry(*address).or_insert(new);
            }
        }
    }

    /// Forgets routers that were silent too long, but for the seeds.
    pub fn forget_silent(
        &self,
        now: Moment,
        age: Duration,
    ) {
        let last = |entry: &PeerEntry| entry.heard.unwrap_or(entry.told);
        let mut peers = self.peers();
        peers.retain(|_, entry| entry.is_seed || now.saturating_sub(last(entry)) <= age);
    }

    /// Addresses to connect to.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers().keys().copied().collect()
    }

    /// Routers that were heard of within `age` and do not leave.
    pub fn alive(
        &self,
        now: Moment,
        age: Duration,
    ) -> usize {
        self.heard(now, age).len()
    }

    /// Their addresses.
    pub fn heard(
        &self,
        now: Moment,
        age: Duration,
    ) -> Vec<SocketAddr> {
        let peers = self.peers();
        let fresh = peers.iter().filter(|(_, entry)| {
            let heard = entry.heard.is_some_and(|at| now.saturating_sub(at) <= age);
            heard && !entry.leaving
        });
        fresh.map(|(address, _)| *address).collect()
    }

    /// Whether an address is still to be connected to.
    pub fn knows(
        &self,
        address: SocketAddr,
    ) -> bool {
        self.peers().contains_key(&address)
    }

    /// How far a peer's catalog had come by its last report.
    pub fn version(
        &self,
        address: SocketAddr,
    ) -> CatalogVersion {
        let peers = self.peers();
        peers
            .get(&address)
            .map(|entry| entry.version)
            .unwrap_or_default()
    }

    fn peers(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, PeerEntry>> {
        self.peers.lock().expect("peer table lock")
    }
}
