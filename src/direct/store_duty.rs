use {
    super::gateway::Gateway,
    crate::{catalog::ReaderRole, peers::PEER_SILENCE_LIMIT, policy::Moment},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// How long cordons may be known less far than the list of upstreams before this router
/// reads for itself: those that tell it are of a build that knows no cordons.
const CORDON_PATIENCE: Duration = Duration::from_millis(500);

/// For how long it then reads at least: the same routers go on telling it.
const CORDON_READING: Duration = Duration::from_secs(10);

/// Whether this router reads the store for its zone: a few of the zone's routers do,
/// and tell the others.
pub struct StoreDuty {
    gateway: Arc<Gateway>,
    cordons: Mutex<CordonReading>, // a leaf lock
}

/// Whether this router reads since others do not tell it of cordons.
#[derive(Default)]
struct CordonReading {
    behind_since: Option<Moment>,
    until: Moment,
}

impl CordonReading {
    fn is_needed(
        &mut self,
        now: Moment,
        knows: bool,
    ) -> bool {
        let since = *self.behind_since.get_or_insert(now);
        if knows {
            self.behind_since = None;
        } else if now.saturating_sub(since) >= CORDON_PATIENCE {
            self.until = now + CORDON_READING;
        }
        now < self.until
    }
}

impl StoreDuty {
    /// The duty of this router.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self {
            gateway,
            cordons: Mutex::default(),
        }
    }
}

impl ReaderRole for StoreDuty {
    fn is_reader(&self) -> bool {
        let gateway = &self.gateway;
        let version = gateway.catalog.version();
        let knows_nothing = version.config == 0 || version.upstreams == 0;
        let now = gateway.now();
        let lost = gateway.is_store_lost();
        let cordons_up_to_date = gateway.catalog.cordons_up_to_date();
        let for_cordons = {
            let mut cordons = self.cordons.lock().expect("cordon reading lock");
            cordons.is_needed(now, cordons_up_to_date)
        };
        let mine = knows_nothing
            || for_cordons
            || gateway.peers.is_store_reader(now, PEER_SILENCE_LIMIT, lost);
        if gateway.reading.set_own(now, mine) {
            log::info!(
                reads = mine, lost = lost, upstreams_at = version.upstreams;
                "the store is read here, or by others of the zone"
            );
        }
        mine
    }

    fn record_call(
        &self,
        answered: bool,
    ) {
        let now = self.gateway.now();
        self.gateway.reading.went(now, answered);
    }
}
