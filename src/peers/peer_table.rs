use {
    super::{RouterContact, RouterReport, peer_entry::PeerEntry},
    crate::{
        catalog::CatalogVersion,
        policy::{Moment, Neighbour, streams::RouterProcess},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{IpAddr, SocketAddr},
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
};

/// The other routers that this one knows, by address. Those of its own availability zone are
/// known by their reports, some of other zones only by address and zone.
pub struct PeerTable {
    own: RouterContact,
    peers: Mutex<BTreeMap<SocketAddr, PeerEntry>>, // no other mutex is locked while it is held
}

impl PeerTable {
    /// A table that contains the seeds, without this router itself. Seeds may be stale.
    pub fn new(
        own: RouterContact,
        seeds: &[SocketAddr],
    ) -> Self {
        let table = Self {
            own,
            peers: Mutex::default(),
        };
        table.add_seeds(seeds);
        table
    }

    /// Address and zone of this router.
    pub fn own(&self) -> RouterContact {
        self.own
    }

    /// Adds seeds, after the settings changed.
    pub fn add_seeds(
        &self,
        seeds: &[SocketAddr],
    ) {
        let mut peers = self.peers();
        for address in seeds.iter().filter(|seed| **seed != self.own.address) {
            peers.entry(*address).or_default().is_seed = true;
        }
    }

    /// Applies the report of a router of the own zone. False if it is this router's own, or
    /// if a later one was received before; `max_age` is the age at which reports expire.
    pub fn apply_report(
        &self,
        now: Moment,
        report: &RouterReport,
        max_age: Duration,
    ) -> bool {
        if report.address == self.own.address {
            return false;
        }
        let mut peers = self.peers();
        let entry = peers.entry(report.address).or_default();
        if entry.is_older(now, report, max_age) {
            return false;
        }
        if entry.incarnation != report.incarnation {
            log::info!(
                peer = report.address.to_string().as_str(), incarnation = report.incarnation;
                "router heard of"
            );
        }
        entry.apply(now, report);
        true
    }

    /// Records that a router is alive: a message came from it, or from a router of its zone
    /// that receives its reports.
    pub fn record_contact(
        &self,
        now: Moment,
        router: RouterContact,
    ) {
        if router.address != self.own.address {
            let mut peers = self.peers();
            let entry = peers.entry(router.address).or_default();
            entry.zone = Some(router.zone);
            entry.last_seen = Some(now);
        }
    }

    /// Records that a router of the own zone compares the store's eras, and whether it reads the
    /// store.
    pub fn record_eras(
        &self,
        now: Moment,
        router: SocketAddr,
        is_reader: bool,
    ) {
        if let Some(entry) = self.peers().get_mut(&router) {
            entry.read_with_eras = is_reader.then_some(now);
        }
    }

    /// Whether another router of the own zone that compares the store's eras said within `age`
    /// that it reads the store.
    pub fn has_reader_with_eras(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        let peers = self.peers();
        let mut said = peers.values().filter_map(|entry| entry.read_with_eras);
        said.any(|at| now.saturating_sub(at) <= age)
    }

    /// Adds routers that another router named. That alone does not show that they are alive.
    pub fn add_contacts(
        &self,
        now: Moment,
        routers: &[RouterContact],
    ) {
        let mut peers = self.peers();
        for router in routers {
            if router.address != self.own.address {
                let new = PeerEntry {
                    named_at: now,
                    ..PeerEntry::default()
                };
                let entry = peers.entry(router.address).or_insert(new);
                entry.zone = Some(router.zone);
            }
        }
    }

    /// Removes routers other than seeds that were silent for longer than `age`, and returns
    /// their addresses.
    pub fn remove_silent(
        &self,
        now: Moment,
        age: Duration,
    ) -> Vec<SocketAddr> {
        let last_time = |entry: &PeerEntry| entry.last_seen.unwrap_or(entry.named_at);
        let mut removed = Vec::new();
        self.peers().retain(|address, entry| {
            let stays = entry.is_seed || now.saturating_sub(last_time(entry)) <= age;
            if !stays {
                removed.push(*address);
            }
            stays
        });
        removed
    }

    /// Known routers of the own zone, to which reports are sent.
    pub fn own_zone_addresses(&self) -> Vec<SocketAddr> {
        self.addresses_in_zone(self.own.zone)
    }

    /// Known routers of a zone.
    pub fn addresses_in_zone(
        &self,
        zone: u32,
    ) -> Vec<SocketAddr> {
        let peers = self.peers();
        let of_zone = peers.iter().filter(|(_, entry)| entry.zone == Some(zone));
        of_zone.map(|(address, _)| *address).collect()
    }

    /// Targets of discovery requests: the seeds and the routers of the own zone.
    pub fn discovery_addresses(&self) -> Vec<SocketAddr> {
        let peers = self.peers();
        let targets = peers
            .iter()
            .filter(|(_, entry)| entry.is_seed || entry.zone == Some(self.own.zone));
        targets.map(|(address, _)| *address).collect()
    }

    /// The other zones that have a known router.
    pub fn other_zones(&self) -> Vec<u32> {
        let peers = self.peers();
        let zones: BTreeSet<u32> = peers.values().filter_map(|entry| entry.zone).collect();
        zones
            .into_iter()
            .filter(|zone| *zone != self.own.zone)
            .collect()
    }

    /// Routers to name to a router of `zone`: this one, the live ones of that zone, and up to
    /// `per_zone` live ones of every other zone. Live ones were seen within `age` and are not
    /// shutting down.
    pub fn contacts(
        &self,
        now: Moment,
        age: Duration,
        zone: u32,
        per_zone: usize,
    ) -> Vec<RouterContact> {
        let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
        let mut contacts = vec![self.own];
        for (address, entry) in self.peers().iter() {
            let is_recent = entry
                .last_seen
                .is_some_and(|at| now.saturating_sub(at) <= age);
            let Some(peer_zone) = entry.zone.filter(|_| is_recent && !entry.is_leaving) else {
                continue;
            };
            let count = counts.entry(peer_zone).or_default();
            if peer_zone == zone || *count < per_zone {
                *count += 1;
                contacts.push(RouterContact {
                    address: *address,
                    zone: peer_zone,
                });
            }
        }
        contacts
    }

    /// Number of live routers of the own zone, besides this one: those that reported within
    /// `age` and are not shutting down.
    pub fn live_count(
        &self,
        now: Moment,
        age: Duration,
    ) -> usize {
        self.live_addresses(now, age).len()
    }

    /// Addresses of the live routers of the own zone, besides this one.
    pub fn live_addresses(
        &self,
        now: Moment,
        age: Duration,
    ) -> Vec<SocketAddr> {
        let live = self.live_processes(now, age).into_iter();
        live.map(|router| router.address).collect()
    }

    /// The processes of the live routers of the own zone, besides this one.
    pub fn live_processes(
        &self,
        now: Moment,
        age: Duration,
    ) -> Vec<RouterProcess> {
        let peers = self.peers();
        let live = peers.iter().filter(|(_, entry)| entry.is_live(now, age));
        let processes = live.map(|(address, entry)| RouterProcess {
            address: *address,
            incarnation: entry.incarnation,
        });
        processes.collect()
    }

    /// The routers that were seen within `age`, by zone.
    pub fn recent_by_zone(
        &self,
        now: Moment,
        age: Duration,
    ) -> BTreeMap<u32, Vec<SocketAddr>> {
        let mut by_zone: BTreeMap<u32, Vec<SocketAddr>> = BTreeMap::new();
        for (address, entry) in self.peers().iter() {
            let seen = entry.last_seen;
            let is_recent = seen.is_some_and(|at| now.saturating_sub(at) <= age);
            if let Some(zone) = entry.zone.filter(|_| is_recent) {
                by_zone.entry(zone).or_default().push(*address);
            }
        }
        by_zone
    }

    /// Mean processor utilisation, in percent, of the live routers of the own zone besides
    /// this one; none if there are none.
    pub fn mean_busy(
        &self,
        now: Moment,
        age: Duration,
    ) -> Option<f64> {
        let peers = self.peers();
        let live = peers.values().filter(|entry| entry.is_live(now, age));
        let busy: Vec<f64> = live.map(|entry| f64::from(entry.busy_percent)).collect();
        (!busy.is_empty()).then(|| busy.iter().sum::<f64>() / busy.len() as f64)
    }

    /// The live routers of the own zone, besides this one, whose processor utilisation is at
    /// most `most_busy` (0 to 1), with their idle processor time in cores.
    pub fn neighbours(
        &self,
        now: Moment,
        age: Duration,
        most_busy: f64,
    ) -> Vec<Neighbour> {
        let peers = self.peers();
        let live = peers.values().filter(|entry| entry.is_live(now, age));
        // A router without a complete catalog, such as one that has just started, refuses
        // requests.
        let serving = live.filter(|entry| entry.version.is_complete());
        let neighbours = serving.filter_map(|entry| {
            let busy = f64::from(entry.busy_percent) / 100.0;
            let callers = entry.caller_address.filter(|_| busy <= most_busy)?;
            Some(Neighbour {
                caller_address: callers,
                spare_cores: f64::from(entry.millicores) / 1000.0 * (1.0 - busy).max(0.0),
            })
        });
        neighbours.collect()
    }

    /// Whether the router that accepts callers at this address reported within `age`.
    pub fn has_recent_report(
        &self,
        now: Moment,
        age: Duration,
        caller_address: SocketAddr,
    ) -> bool {
        let peers = self.peers();
        peers.values().any(|entry| {
            entry.caller_address == Some(caller_address) && entry.has_reported(now, age)
        })
    }

    /// Whether a router of the own zone has this IP address.
    pub fn is_neighbour(
        &self,
        address: IpAddr,
    ) -> bool {
        let peers = self.peers();
        peers
            .iter()
            .any(|(peer, entry)| peer.ip() == address && entry.zone == Some(self.own.zone))
    }

    /// Whether a router with this IP address reported that it is shutting down.
    pub fn is_leaving(
        &self,
        address: IpAddr,
    ) -> bool {
        let peers = self.peers();
        let mut at_address = peers.iter().filter(|(peer, _)| peer.ip() == address);
        at_address.any(|(_, entry)| entry.is_leaving)
    }

    /// The catalog version in a peer's last report; the default one for unknown peers.
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

    /// The routers of the own zone that reported within `age`: the address at which each
    /// serves catalog updates, and its catalog version.
    pub fn catalog_sources(
        &self,
        now: Moment,
        age: Duration,
    ) -> Vec<(SocketAddr, CatalogVersion)> {
        let peers = self.peers();
        let recent = peers.values().filter(|entry| entry.has_reported(now, age));
        let sources = recent.filter_map(|entry| Some((entry.update_address?, entry.version)));
        sources.collect()
    }

    pub(super) fn peers(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, PeerEntry>> {
        self.peers.lock().expect("peer table lock")
    }
}
