use {
    super::RouterReport,
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
    told: Moment,             // when it was first named
    heard: Option<Moment>,    // its own last report
    news: Option<SocketAddr>, // where it can be asked for its catalog
    incarnation: u64,
    sequence: u64,
    leaving: bool,
    busy: u8, // percent
    version: CatalogVersion,
}

impl PeerEntry {
    /// Whether it was heard of within `age`, and stays.
    fn is_there(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        let heard = self.heard.is_some_and(|at| now.saturating_sub(at) <= age);
        heard && !self.leaving
    }
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
        report: &RouterReport,
    ) -> bool {
        if report.address == self.own {
            return false;
        }
        let mut peers = self.peers();
        let entry = peers.entry(report.address).or_default();
        if (entry.incarnation, entry.sequence) > (report.incarnation, report.sequence) {
            return false;
        }
        if entry.incarnation != report.incarnation {
            log::info!(
                peer = report.address.to_string().as_str(), incarnation = report.incarnation;
                "router heard of"
            );
        }
        *entry = PeerEntry {
            news: Some(report.news),
            heard: Some(now),
            incarnation: report.incarnation,
            sequence: report.sequence,
            leaving: report.leaving,
            busy: report.busy,
            version: report.version,
            ..*entry
        };
        true
    }

    /// Where a router can be asked that is ahead of this version.
    pub fn ahead_of(
        &self,
        ours: CatalogVersion,
    ) -> Option<SocketAddr> {
        let peers = self.peers();
        let ahead = |version: &CatalogVersion| {
            version.config > ours.config || version.upstreams > ours.upstreams
        };
        peers
            .values()
            .filter(|entry| ahead(&entry.version))
            .max_by_key(|entry| (entry.heard, entry.version.config, entry.version.upstreams))
            .and_then(|entry| entry.news)
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

    /// Addresses to send reports to.
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
        let fresh = peers.iter().filter(|(_, entry)| entry.is_there(now, age));
        fresh.map(|(address, _)| *address).collect()
    }

    /// How busy the routers are that were heard of within `age`, on average and in
    /// percent; none if there are none.
    pub fn mean_busy(
        &self,
        now: Moment,
        age: Duration,
    ) -> Option<f64> {
        let peers = self.peers();
        let fresh = peers.values().filter(|entry| entry.is_there(now, age));
        let busy: Vec<f64> = fresh.map(|entry| f64::from(entry.busy)).collect();
        (!busy.is_empty()).then(|| busy.iter().sum::<f64>() / busy.len() as f64)
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
