//! Learning what the catalogs of others have in advance.

use {
    super::{PeerLink, SILENCE, ask_news::ask_news},
    crate::{catalog::CatalogVersion, codes::Fault, policy::Moment},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// How long a router that the store answers, and that knows something, may be behind others
/// before it asks one for its news: the store tells most changes by then.
const PATIENCE: Duration = Duration::from_millis(500);

/// The pause after a question, so that changes come together.
const ASK_PAUSE: Duration = Duration::from_millis(200);

/// How often it looks whether it is behind.
const LOOK_EVERY: Duration = Duration::from_millis(100);

impl PeerLink {
    /// Asks a router that is ahead for its news, once the store had its time to
    /// tell them.
    pub(super) async fn catch_up(self: Arc<Self>) {
        let mut behind_since: Option<Moment> = None;
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let now = self.gateway.now();
            let ours = self.gateway.catalog.version();
            let Some(ahead) = self.ahead_of(now, ours) else {
                behind_since = None;
                continue;
            };
            let since = *behind_since.get_or_insert(now);
            // A store that does not answer here tells nothing: a router that had started in its
            // silence learnt half a second late that replicas had just started.
            let reading = &self.gateway.reading;
            let waits = ours.knows_both() && reading.is_own() && reading.is_answered();
            if waits && now.saturating_sub(since) < PATIENCE {
                continue;
            }
            behind_since = None;
            if let Err(error) = self.fetch(ahead).await {
                self.forget_asked();
                log::info!(
                    code = error.code.number(), config = ours.config, upstreams_at = ours.upstreams;
                    "no news from {ahead}: {error}"
                );
            }
            tokio::time::sleep(ASK_PAUSE).await;
        }
    }

    /// A router that is ahead of this version, one of the own zone if there is one: the
    /// last that was asked and answered, or else drawn. One that is silent is not asked:
    /// it would be for 20 s, 3 s a question, until it is forgotten.
    fn ahead_of(
        &self,
        now: Moment,
        ours: CatalogVersion,
    ) -> Option<SocketAddr> {
        let is_ahead = |(_, version): &(SocketAddr, CatalogVersion)| {
            version.config > ours.config || version.upstreams > ours.upstreams
        };
        let last = self.last_asked();
        let draw = |known: Vec<(SocketAddr, CatalogVersion)>| {
            let ahead: Vec<_> = known.into_iter().filter(is_ahead).collect();
            let drawn = rand::random_range(0..ahead.len().max(1));
            let again = ahead.iter().find(|(address, _)| Some(*address) == last);
            again.or(ahead.get(drawn)).map(|(address, _)| *address)
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
