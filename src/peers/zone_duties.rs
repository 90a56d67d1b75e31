//! Who of a zone does what for all of it: drawn by hash among the routers that are
//! heard of, so that all agree without asking each other.

use {
    super::PeerTable,
    crate::policy::{Moment, mix_hashes, stable_hash},
    std::{net::SocketAddr, time::Duration},
};

/// Routers of a zone that read the store: one may be cut off from it, and takes some
/// seconds to find that out.
const READERS: usize = 2;

impl PeerTable {
    /// Whether this router speaks for its zone to another one: of those of the zone
    /// that were heard of within `age`, one is drawn by hash, so that all agree
    /// without asking each other.
    pub fn speaks_to(
        &self,
        now: Moment,
        age: Duration,
        zone: u32,
    ) -> bool {
        let weight = |address: &SocketAddr| mix_hashes(stable_hash(address), u64::from(zone));
        let own = weight(&self.own().address);
        let peers = self.peers();
        let mut there = peers.iter().filter(|(_, entry)| entry.is_there(now, age));
        !there.any(|(address, _)| weight(address) > own)
    }

    /// Whether this router reads the store for its zone: the first [`READERS`] by hash
    /// do of those that were heard of within `age` and did not lose the store. One
    /// that lost it, as `own_lost` says, goes on trying if it were among the first
    /// otherwise.
    pub fn reads_store(
        &self,
        now: Moment,
        age: Duration,
        own_lost: bool,
    ) -> bool {
        let weight = |address: &SocketAddr| mix_hashes(stable_hash(address), READERS as u64);
        let own = weight(&self.own().address);
        let peers = self.peers();
        let there = peers.iter().filter(|(_, entry)| entry.is_there(now, age));
        let able = there.filter(|(_, entry)| own_lost || !entry.store_lost);
        let before = able.filter(|(address, _)| weight(address) > own);
        before.count() < READERS
    }
}
