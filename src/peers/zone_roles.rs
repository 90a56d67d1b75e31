//! Assigns roles that a few routers of a zone fill for all of it. They are chosen by
//! rendezvous hashing among the live routers, so that all routers agree without negotiation.

use {
    super::PeerTable,
    crate::policy::{Moment, mix_hashes, stable_hash},
    std::{net::SocketAddr, time::Duration},
};

/// Number of routers of a zone that read the store. One alone may lose its connection to the
/// store and take some seconds to notice.
const STORE_READERS: usize = 2;

impl PeerTable {
    /// Whether this router is the representative of its zone towards another one: the first
    /// by hash among those of the zone that reported within `age` and are not shutting down.
    pub fn represents_zone_to(
        &self,
        now: Moment,
        age: Duration,
        zone: u32,
    ) -> bool {
        let weight = |address: &SocketAddr| mix_hashes(stable_hash(address), u64::from(zone));
        let own = weight(&self.own().address);
        let peers = self.peers();
        let mut live = peers.iter().filter(|(_, entry)| entry.is_live(now, age));
        !live.any(|(address, _)| weight(address) > own)
    }

    /// Whether no router of the zone may be able to read the store: as many as read it for the
    /// zone, or all, reported within `age` that they cannot. `own_reads_fail` says so of this one.
    /// A router that can read it again counts for another `age`, in which the others are told what
    /// it reads.
    pub fn is_store_unreachable(
        &self,
        now: Moment,
        age: Duration,
        own_reads_fail: bool,
    ) -> bool {
        let peers = self.peers();
        let live = || peers.values().filter(|entry| entry.is_live(now, age));
        let failing = live().filter(|entry| {
            let at = entry.store_unavailable_at;
            at.is_some_and(|at| now.saturating_sub(at) <= age)
        });
        let failing = failing.count() + usize::from(own_reads_fail);
        failing >= STORE_READERS.min(live().count() + 1)
    }

    /// Whether this router reads the store for its zone: the first `STORE_READERS` by hash
    /// do, among the routers that reported within `age`, are not shutting down and can read
    /// the store. A router whose own reads fail (`own_reads_fail`) goes on trying if it is among
    /// the first ones of all.
    pub fn is_store_reader(
        &self,
        now: Moment,
        age: Duration,
        own_reads_fail: bool,
    ) -> bool {
        let weight = |address: &SocketAddr| mix_hashes(stable_hash(address), STORE_READERS as u64);
        let own = weight(&self.own().address);
        let peers = self.peers();
        let live = peers.iter().filter(|(_, entry)| entry.is_live(now, age));
        let able = live.filter(|(_, entry)| own_reads_fail || !entry.is_store_unavailable);
        let before = able.filter(|(address, _)| weight(address) > own);
        before.count() < STORE_READERS
    }
}
