use {
    super::gateway::Gateway,
    crate::{catalog::ReadDuty, peers::SILENCE},
    std::sync::Arc,
};

/// Whether this router reads the store for its zone: a few of the zone's routers do,
/// and tell the others.
pub struct StoreDuty {
    gateway: Arc<Gateway>,
}

impl StoreDuty {
    /// The duty of this router.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }
}

impl ReadDuty for StoreDuty {
    fn is_mine(&self) -> bool {
        let gateway = &self.gateway;
        let version = gateway.catalog.version();
        let knows_nothing = version.config == 0 || version.upstreams == 0;
        let now = gateway.now();
        let lost = gateway.is_store_lost();
        let mine = knows_nothing || gateway.peers.reads_store(now, SILENCE, lost);
        if gateway.reading.set_own(now, mine) {
            log::info!(
                reads = mine, lost = lost, upstreams_at = version.upstreams;
                "the store is read here, or by others of the zone"
            );
        }
        mine
    }

    fn went(
        &self,
        answered: bool,
    ) {
        let now = self.gateway.now();
        self.gateway.reading.went(now, answered);
    }
}
