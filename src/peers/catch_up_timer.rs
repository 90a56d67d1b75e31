use {
    crate::{catalog::CatalogVersion, policy::Moment},
    std::time::Duration,
};

/// How long a router that reads the store waits for a change that a peer already has before
/// it asks the peer. The store delivers a change to all its readers within some tens of
/// milliseconds. With a longer wait, a reader whose connection to the store has stalled
/// sends full load to replicas that have just started.
const STORE_DELAY_LIMIT: Duration = Duration::from_millis(150);

/// Decides when a router whose catalog is older than a peer's requests the peer's updates
/// instead of waiting for the store to deliver them.
#[derive(Debug, Clone, Copy, Default)]
pub struct CatchUpTimer {
    missing: Option<(CatalogVersion, Moment)>, // first version not reached yet, and since when
}

impl CatchUpTimer {
    /// Whether to request updates now. `peer_version` is a newer version of some peer, if
    /// any. `reads_store` says that the store answers this router's own reads, so that the
    /// change is expected from there first.
    pub fn should_ask(
        &mut self,
        now: Moment,
        own_version: CatalogVersion,
        peer_version: Option<CatalogVersion>,
        reads_store: bool,
    ) -> bool {
        // While changes are frequent some peer is ahead at any time, so the wait is measured
        // for one version.
        self.missing = self
            .missing
            .filter(|(version, _)| version.is_ahead_of(own_version));
        let Some(peer_version) = peer_version else {
            return false;
        };
        let (_, since) = *self.missing.get_or_insert((peer_version, now));
        !reads_store || now.saturating_sub(since) >= STORE_DELAY_LIMIT
    }

    /// Restarts the wait after updates were requested.
    pub fn reset(&mut self) {
        self.missing = None;
    }
}
