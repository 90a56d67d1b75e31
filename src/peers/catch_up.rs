//! Learning what the catalogs of others have in advance.

use {
    super::{Behind, PeerLink, SILENCE, ask_news::ask_news},
    crate::{catalog::CatalogVersion, codes::Fault, policy::Moment},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The pause after a question, so that changes come together.
const ASK_PAUSE: Duration = Duration::from_millis(200);

/// How often it looks whether it is behind, when it hears of no newer version.
const LOOK_EVERY: Duration = Duration::from_millis(100);

impl PeerLink {
    /// Asks a router that is ahead for its news, once the store had its time to
    /// tell them.
    pub(super) async fn catch_up(self: Arc<Self>) {
        let mut behind = Behind::default();
        loop {
            // Hearing nothing is no fault: what it asked for may not have come.
            let _nothing = tokio::time::timeout(LOOK_EVERY, self.newer_heard.notified()).await;
            let now = self.gateway.now();
            let ours = self.gateway.catalog.version();
            let ahead = self.ahead_of(now, ours);
            let theirs = ahead.map(|(_, version)| version);
            // A store that does not answer here tells nothing: a router that had started in its
            // silence learnt half a second late that replicas had just started.
            let reading = &self.gateway.store_reads;
            let store_tells = ours.knows_both() && reading.is_reader() && reading.is_answering();
            let is_due = behind.should_ask(now, ours, theirs, store_tells);
            let Some((address, _)) = ahead.filter(|_| is_due) else {
                continue;
            };
            behind.asked();
            if let Err(error) = self.fetch(address).await {
                self.forget_asked();
                log::info!(
                    code = error.code.number(), config = ours.config, upstreams_at = ours.upstreams;
                    "no news from {address}: {error}"
                );
            }
            tokio::time::sleep(ASK_PAUSE).await;
        }
    }

    /// A router that is ahead of this version, and its own; one of the own zone if there is
    /// one: the last that was asked and answered, or else drawn. One that is silent is not
    /// asked: it would be for 20 s, 3 s a question, until it is forgotten.
    fn ahead_of(
        &self,
        now: Moment,
        ours: CatalogVersion,
    ) -> Option<(SocketAddr, CatalogVersion)> {
        let last = self.last_asked();
        let draw = |mut known: Vec<(SocketAddr, CatalogVersion)>| {
            known.retain(|(_, version)| version.is_ahead_of(ours));
            let drawn = rand::random_range(0..known.len().max(1));
            let again = known.iter().find(|(address, _)| Some(*address) == last);
            again.or(known.get(drawn)).copied()
        };
        let near = draw(self.gateway.peers.news(now, SILENCE));
        near.or_else(|| draw(self.zones().news(now, SILENCE)))
    }

    async fn fetch(
        &self,
        address: SocketAddr,
    ) -> Result<(), Fault> {
        let catalog = &self.gateway.catalog;
        let connection = self.connection_to(address).await?;
        let ours = catalog.version();
        let told = ask_news(&connection, ours).await?;
        let news = told.catalog;
        let from = address.to_string();
        log::info!(
            from = from.as_str(), after = ours.upstreams, at = news.upstreams.at,
            records = news.upstreams.records.len(), whole = news.upstreams.is_whole;
            "news of the upstreams taken in"
        );
        if let Some(text) = &news.config {
            catalog.offer_told_config(text, &from);
        }
        catalog.offer_upstreams(news.upstreams, &from);
        if let Some(cordons) = told.cordons {
            catalog.offer_cordons(cordons, &from);
        }
        Ok(())
    }
}
