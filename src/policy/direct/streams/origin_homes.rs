use {
    super::{OriginReceiver, RouterProcess, StreamKey, ZoneContacts},
    crate::policy::{mix_hashes, stable_hash},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Routers of the own zone that keep a record besides the one that began the stream.
const HOMES_IN_ZONE: usize = 2;

/// Routers of a zone that are asked for a record. One more than keep it: the router that began
/// the stream skips itself in the order of homes, and others do not.
const ASKED_IN_ZONE: usize = HOMES_IN_ZONE + 1;

/// Other zones that get a record. A zone with too few homes sends it to more of them.
const OTHER_ZONES: usize = 1;

/// Which routers keep the records of streams: derived by rendezvous hashing from the live routers,
/// so that all routers agree without negotiation.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OriginHomes {
    own_zone: u32,
    neighbours: BTreeMap<SocketAddr, u64>, // incarnations of the own zone's other live routers
    zones: BTreeMap<u32, Vec<SocketAddr>>, // routers of the other live zones
}

/// A receiver of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Home {
    Router(RouterProcess),
    Zone(u32),
}

impl OriginHomes {
    /// The homes among the live routers of the own zone, without this one, and the other live
    /// zones.
    pub fn new(
        own_zone: u32,
        neighbours: impl IntoIterator<Item = RouterProcess>,
        zones: impl IntoIterator<Item = ZoneContacts>,
    ) -> Self {
        let neighbours = neighbours.into_iter();
        let zones = zones.into_iter().filter(|zone| !zone.routers.is_empty());
        Self {
            own_zone,
            neighbours: neighbours
                .map(|router| (router.address, router.incarnation))
                .collect(),
            zones: zones.map(|zone| (zone.zone, zone.routers)).collect(),
        }
    }

    /// The routers to which this router sends a record.
    pub fn receivers(
        &self,
        key: StreamKey,
    ) -> Vec<OriginReceiver> {
        let homes = self.homes(key).into_iter();
        homes.filter_map(|home| self.receiver(home, key)).collect()
    }

    /// Those of them that lack the record if it was sent when `before` were the homes.
    pub fn added_since(
        &self,
        before: &Self,
        key: StreamKey,
    ) -> Vec<OriginReceiver> {
        let known = before.homes(key);
        let homes = self.homes(key).into_iter();
        let added = homes.filter(|home| !known.contains(home));
        added.filter_map(|home| self.receiver(home, key)).collect()
    }

    /// The routers of the own zone that are asked for a record.
    pub fn asked_in_zone(
        &self,
        key: StreamKey,
    ) -> Vec<SocketAddr> {
        self.first_neighbours(key, ASKED_IN_ZONE)
    }

    /// The router of the own zone that keeps a record which came from another zone, unless it is
    /// this one, at `own`.
    pub fn first_home(
        &self,
        own: SocketAddr,
        key: StreamKey,
    ) -> Option<SocketAddr> {
        let first = self.first_neighbours(key, 1).first().copied()?;
        (weight(&first, key) > weight(&own, key)).then_some(first)
    }

    /// One router of each other zone, which is asked for a record on behalf of its zone. The
    /// `attempt` (0 for the first) selects another one if the zone has several.
    pub fn zone_contacts(
        &self,
        key: StreamKey,
        attempt: usize,
    ) -> Vec<(u32, SocketAddr)> {
        let zones = self.zones.keys();
        let contacts = zones.filter_map(|zone| Some((*zone, self.contact(*zone, key, attempt)?)));
        contacts.collect()
    }

    /// Whether records may have other homes than with `before`.
    pub fn differs_from(
        &self,
        before: &Self,
    ) -> bool {
        self.neighbours != before.neighbours || self.next_zones() != before.next_zones()
    }

    fn homes(
        &self,
        key: StreamKey,
    ) -> Vec<Home> {
        let first = self.first_neighbours(key, HOMES_IN_ZONE).into_iter();
        let routers = first.map(|address| {
            let incarnation = self.neighbours.get(&address).copied().unwrap_or_default();
            Home::Router(RouterProcess {
                address,
                incarnation,
            })
        });
        let zones = self.next_zones().into_iter().map(Home::Zone);
        routers.chain(zones).collect()
    }

    fn receiver(
        &self,
        home: Home,
        key: StreamKey,
    ) -> Option<OriginReceiver> {
        let (address, for_zone) = match home {
            Home::Router(router) => (router.address, false),
            Home::Zone(zone) => (self.contact(zone, key, 0)?, true),
        };
        Some(OriginReceiver { address, for_zone })
    }

    /// The zones that get this zone's records: those that follow it in the order of hashes.
    fn next_zones(&self) -> Vec<u32> {
        let missing = HOMES_IN_ZONE.saturating_sub(self.neighbours.len());
        let after = self.zones.range(self.own_zone..);
        let before = self.zones.range(..self.own_zone);
        let following = after.chain(before).map(|(zone, _)| *zone);
        following.take(OTHER_ZONES + missing).collect()
    }

    fn first_neighbours(
        &self,
        key: StreamKey,
        count: usize,
    ) -> Vec<SocketAddr> {
        let mut ordered = by_weight(self.neighbours.keys(), key);
        ordered.truncate(count);
        ordered
    }

    /// The router of a zone to which a message for the zone goes: its first home, unless it is not
    /// known here.
    fn contact(
        &self,
        zone: u32,
        key: StreamKey,
        attempt: usize,
    ) -> Option<SocketAddr> {
        let routers = self.zones.get(&zone)?;
        let ordered = by_weight(routers.iter(), key);
        ordered.get(attempt % routers.len()).copied()
    }
}

/// Routers in the order in which they are homes of a stream.
fn by_weight<'r>(
    routers: impl Iterator<Item = &'r SocketAddr>,
    key: StreamKey,
) -> Vec<SocketAddr> {
    let mut weighted: Vec<(u64, SocketAddr)> = routers
        .map(|address| (weight(address, key), *address))
        .collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.into_iter().map(|(_, address)| address).collect()
}

fn weight(
    address: &SocketAddr,
    key: StreamKey,
) -> u64 {
    mix_hashes(stable_hash(address), key.0)
}
