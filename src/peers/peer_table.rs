use {
    super::{NamedRouter, RouterReport, peer_entry::PeerEntry},
    crate::{
        catalog::CatalogVersion,
        policy::{Moment, Neighbour},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
};

/// The routers that this one knows of, by address: those of its own availability
/// zone by their reports, some of other zones by name.
pub struct PeerTable {
    own: NamedRouter,
    peers: Mutex<BTreeMap<SocketAddr, PeerEntry>>, // a leaf lock
}

impl PeerTable {
    /// A table of the seeds, which may be stale; this router itself is left out.
    pub fn new(
        own: NamedRouter,
        seeds: &[SocketAddr],
    ) -> Self {
        let table = Self {
            own,
            peers: Mutex::default(),
        };
        table.add_seeds(seeds);
        table
    }

    /// This router, as others name it.
    pub fn own(&self) -> NamedRouter {
        self.own
    }

    /// Takes in seeds that changed.
    pub fn add_seeds(
        &self,
        seeds: &[SocketAddr],
    ) {
        let mut peers = self.peers();
        for address in seeds.iter().filter(|seed| **seed != self.own.address) {
            peers.entry(*address).or_default().is_seed = true;
        }
    }

    /// Takes in the report of a router of the own zone. False if a later one was
    /// heard before; `believed` is how long reports count.
    pub fn hear(
        &self,
        now: Moment,
        report: &RouterReport,
        believed: Duration,
    ) -> bool {
        if report.address == self.own.address {
            return false;
        }
        let mut peers = self.peers();
        let entry = peers.entry(report.address).or_default();
        if entry.is_older(now, report, believed) {
            return false;
        }
        if entry.incarnation != report.incarnation {
            log::info!(
                peer = report.address.to_string().as_str(), incarnation = report.incarnation;
                "router heard of"
            );
        }
        entry.take(now, report);
        true
    }

    /// A router of any zone spoke, or one of its zone that hears it.
    pub fn meet(
        &self,
        now: Moment,
        router: NamedRouter,
    ) {
        if router.address != self.own.address {
            let mut peers = self.peers();
            let entry = peers.entry(router.address).or_default();
            entry.zone = Some(router.zone);
            entry.met = Some(now);
        }
    }

    /// Others named these routers.
    pub fn learn(
        &self,
        now: Moment,
        routers: &[NamedRouter],
    ) {
        let mut peers = self.peers();
        for router in routers {
            if router.address != self.own.address {
                let new = PeerEntry {
                    told: now,
                    ..PeerEntry::default()
                };
                let entry = peers.entry(router.address).or_insert(new);
                entry.zone = Some(router.zone);
            }
        }
    }

    /// Forgets routers that were silent too long, but for the seeds. Gives those
    /// forgotten.
    pub fn forget_silent(
        &self,
        now: Moment,
        age: Duration,
    ) -> Vec<SocketAddr> {
        let last = |entry: &PeerEntry| entry.met.unwrap_or(entry.told);
        let mut forgotten = Vec::new();
        self.peers().retain(|address, entry| {
            let stays = entry.is_seed || now.saturating_sub(last(entry)) <= age;
            if !stays {
                forgotten.push(*address);
            }
            stays
        });
        forgotten
    }

    /// Addresses to send reports to: the routers of the own zone.
    pub fn in_zone(&self) -> Vec<SocketAddr> {
        self.in_any_zone(self.own.zone)
    }

    /// The addresses known of a zone.
    pub fn in_any_zone(
        &self,
        zone: u32,
    ) -> Vec<SocketAddr> {
        let peers = self.peers();
        let named = peers.iter().filter(|(_, entry)| entry.zone == Some(zone));
        named.map(|(address, _)| *address).collect()
    }

    /// Seeds, and the routers of the own zone: who can name others.
    pub fn to_ask(&self) -> Vec<SocketAddr> {
        let peers = self.peers();
        let asked = peers
            .iter()
            .filter(|(_, entry)| entry.is_seed || entry.zone == Some(self.own.zone));
        asked.map(|(address, _)| *address).collect()
    }

    /// The other zones of which a router is known.
    pub fn other_zones(&self) -> Vec<u32> {
        let peers = self.peers();
        let zones: BTreeSet<u32> = peers.values().filter_map(|entry| entry.zone).collect();
        zones
            .into_iter()
            .filter(|zone| *zone != self.own.zone)
            .collect()
    }

    /// Names to give to a router of `zone`: those of its zone that spoke within
    /// `age`, and up to `each` of every other zone.
    pub fn names(
        &self,
        now: Moment,
        age: Duration,
        zone: u32,
        each: usize,
    ) -> Vec<NamedRouter> {
        let mut taken: BTreeMap<u32, usize> = BTreeMap::new();
        let mut names = vec![self.own];
        for (address, entry) in self.peers().iter() {
            let is_met = entry.met.is_some_and(|at| now.saturating_sub(at) <= age);
            let Some(of) = entry.zone.filter(|_| is_met && !entry.leaving) else {
                continue;
            };
            let count = taken.entry(of).or_default();
            if of == zone || *count < each {
                *count += 1;
                names.push(NamedRouter {
                    address: *address,
                    zone: of,
                });
            }
        }
        names
    }

    /// Routers of the own zone that were heard of within `age` and do not leave.
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

    /// How busy the routers of the own zone are that were heard of within `age`, on
    /// average and in percent; none if there are none.
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

    /// The routers of the own zone that were heard of within `age` and were busy for
    /// at most this part of their time, and what they have to spare.
    pub fn neighbours(
        &self,
        now: Moment,
        age: Duration,
        most_busy: f64,
    ) -> Vec<Neighbour> {
        let peers = self.peers();
        let there = peers.values().filter(|entry| entry.is_there(now, age));
        // One that has just started refused what was handed on to it.
        let serving = there.filter(|entry| entry.version.knows_both());
        let told = serving.filter_map(|entry| {
            let busy = f64::from(entry.busy) / 100.0;
            let callers = entry.callers.filter(|_| busy <= most_busy)?;
            Some(Neighbour {
                caller_address: callers,
                spare_cores: f64::from(entry.millicores) / 1000.0 * (1.0 - busy).max(0.0),
            })
        });
        told.collect()
    }

    /// Whether an address is that of a router of the own zone.
    pub fn is_neighbour(
        &self,
        address: IpAddr,
    ) -> bool {
        let peers = self.peers();
        peers
            .iter()
            .any(|(peer, entry)| peer.ip() == address && entry.zone == Some(self.own.zone))
    }

    /// Whether the router of the own zone with this address said that it leaves.
    pub fn is_leaving(
        &self,
        address: IpAddr,
    ) -> bool {
        let peers = self.peers();
        let mut there = peers.iter().filter(|(peer, _)| peer.ip() == address);
        there.any(|(_, entry)| entry.leaving)
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

    /// Where the routers of the own zone that were heard of within `age` can be asked
    /// for their catalogs, and how far those had come.
    pub fn news(
        &self,
        now: Moment,
        age: Duration,
    ) -> Vec<(SocketAddr, CatalogVersion)> {
        let peers = self.peers();
        let there = peers.values().filter(|entry| entry.is_heard(now, age));
        let told = there.filter_map(|entry| Some((entry.news?, entry.version)));
        told.collect()
    }

    pub(super) fn peers(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, PeerEntry>> {
        self.peers.lock().expect("peer table lock")
    }
}
