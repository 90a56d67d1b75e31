use {
    super::gateway::Gateway,
    crate::{catalog::ReaderRole, peers::PEER_SILENCE_LIMIT, policy::Moment},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// How long the cordons may be older than the upstream list before this router reads the store
/// itself: its peers then probably run a build that does not report cordons.
const CORDON_LAG_LIMIT: Duration = Duration::from_millis(500);

/// Minimum time that it then reads the store, as the same peers keep reporting to it.
const CORDON_READ_PERIOD: Duration = Duration::from_secs(10);

/// Decides whether this router reads the store: a few routers of each zone do, and report
/// what they read to the others.
pub struct ZoneReaderRole {
    gateway: Arc<Gateway>,
    cordons: Mutex<CordonFallback>, // a leaf lock
}

/// Whether this router reads the store because its peers do not report cordons.
#[derive(Default)]
struct CordonFallback {
    missing_since: Option<Moment>,
    reads_until: Moment,
}

impl CordonFallback {
    fn is_needed(
        &mut self,
        now: Moment,
        knows_cordons: bool,
    ) -> bool {
        let since = *self.missing_since.get_or_insert(now);
        if knows_cordons {
            self.missing_since = None;
        } else if now.saturating_sub(since) >= CORDON_LAG_LIMIT {
            self.reads_until = now + CORDON_READ_PERIOD;
        }
        now < self.reads_until
    }
}

impl ZoneReaderRole {
    /// Decides for the router of `gateway`.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self {
            gateway,
            cordons: Mutex::default(),
        }
    }
}

impl ReaderRole for ZoneReaderRole {
    fn is_reader(&self) -> bool {
        let gateway = &self.gateway;
        let version = gateway.catalog.version();
        let lacks_catalog = version.config == 0 || version.upstreams == 0;
        let now = gateway.now();
        let is_store_unavailable = gateway.is_store_unavailable();
        let cordons_up_to_date = gateway.catalog.cordons_up_to_date();
        let for_cordons = {
            let mut cordons = self.cordons.lock().expect("cordon fallback lock");
            cordons.is_needed(now, cordons_up_to_date)
        };
        let reads = lacks_catalog
            || for_cordons
            || gateway
                .peers
                .is_store_reader(now, PEER_SILENCE_LIMIT, is_store_unavailable);
        if gateway.store_reads.set_reader(now, reads) {
            log::info!(
                reads = reads, lost = is_store_unavailable, upstreams_at = version.upstreams;
                "the store is read here, or by others of the zone"
            );
        }
        reads
    }

    fn record_call(
        &self,
        answered: bool,
    ) {
        let now = self.gateway.now();
        self.gateway.store_reads.record_call(now, answered);
    }
}
