//! Brings this router's catalog up to the newest version that its peers announce.

use {
    super::{CatchUpTimer, PEER_SILENCE_LIMIT, PeerLink, fetch_update::fetch_update},
    crate::{
        catalog::{CatalogVersion, counter_of, era_of},
        codes::Fault,
        policy::Moment,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Pause after each request, so that several changes arrive in one answer.
const REQUEST_PAUSE: Duration = Duration::from_millis(200);

/// Interval at which versions are compared while no newer version is announced.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl PeerLink {
    /// Requests updates from a router with a newer catalog, until the process exits. A
    /// router that reads the store gives the store some time to deliver them first.
    pub(super) async fn catch_up(self: Arc<Self>) {
        let mut timer = CatchUpTimer::default();
        loop {
            // After a time-out the versions are compared as well: an earlier request may
            // have failed.
            let _timed_out =
                tokio::time::timeout(CHECK_INTERVAL, self.newer_version.notified()).await;
            let now = self.gateway.now();
            let own_version = self.gateway.catalog.version();
            let ahead = self.ahead_of(now, own_version);
            let peer_version = ahead.map(|(_, version)| version);
            // Waiting for a store that does not answer would delay the notice that a
            // replica has just started by half a second.
            let store_reads = &self.gateway.store_reads;
            let reads_store =
                own_version.is_complete() && store_reads.is_reader() && store_reads.is_answering();
            let is_due = timer.should_ask(now, own_version, peer_version, reads_store);
            let Some((address, _)) = ahead.filter(|_| is_due) else {
                continue;
            };
            timer.reset();
            if let Err(error) = self.fetch(address).await {
                self.remove_update_source();
                log::info!(
                    code = error.code.number(), config = own_version.config,
                    era = era_of(own_version.upstreams),
                    upstreams_at = counter_of(own_version.upstreams);
                    "catalog update from {address} failed: {error}"
                );
            }
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
    }

    /// A router with a newer catalog than `own_version`, and its version. Prefers the own
    /// zone, then the router of the last answered request, then a random one. Routers that
    /// have fallen silent are left out: requests to them would only time out, for the 20 s (by
    /// default) until they are removed from the table.
    fn ahead_of(
        &self,
        now: Moment,
        own_version: CatalogVersion,
    ) -> Option<(SocketAddr, CatalogVersion)> {
        let last_source = self.last_update_source();
        let pick = |mut known: Vec<(SocketAddr, CatalogVersion)>| {
            known.retain(|(_, version)| version.is_ahead_of(own_version));
            let random = rand::random_range(0..known.len().max(1));
            let again = known
                .iter()
                .find(|(address, _)| Some(*address) == last_source);
            again.or(known.get(random)).copied()
        };
        let in_own_zone = pick(self.gateway.peers.catalog_sources(now, PEER_SILENCE_LIMIT));
        in_own_zone.or_else(|| pick(self.zones().catalog_sources(now, PEER_SILENCE_LIMIT)))
    }

    async fn fetch(
        &self,
        address: SocketAddr,
    ) -> Result<(), Fault> {
        let catalog = &self.gateway.catalog;
        let connection = self.connection_to(address).await?;
        let own_version = catalog.version();
        let fetched = fetch_update(&connection, own_version).await?;
        let update = fetched.catalog;
        let from = address.to_string();
        log::info!(
            from = from.as_str(), era = era_of(update.upstreams.revision),
            after = counter_of(own_version.upstreams), at = counter_of(update.upstreams.revision),
            records = update.upstreams.records.len(), whole = update.upstreams.is_snapshot;
            "news of the upstreams taken in"
        );
        if let Some(text) = &update.config {
            catalog.offer_config_or_log(text, &from);
        }
        catalog.offer_upstreams(update.upstreams, &from);
        if let Some(cordons) = fetched.cordons {
            catalog.offer_cordons(cordons, &from);
        }
        Ok(())
    }
}
