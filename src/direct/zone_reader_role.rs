use {
    super::gateway::Gateway,
    crate::{
        catalog::{ReaderRole, counter_of, era_of},
        peers::PEER_SILENCE_LIMIT,
        policy::Moment,
    },
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// How long the cordons may be older than the upstream list before this router reads the store
/// itself: its peers then probably run a build that does not report cordons.
const CORDON_LAG_LIMIT: Duration = Duration::from_millis(500);

/// How long no other router of the zone may have said that it reads the store and compares its
/// eras before this router reads the store itself. A router of a build that does not compare them
/// misses what is written after a loss. It spans three of their messages.
const ERA_READER_AGE: Duration = Duration::from_millis(3500);

/// Minimum time that it then reads the store, as the same peers keep reporting to it.
const FALLBACK_PERIOD: Duration = Duration::from_secs(10);

/// Decides whether this router reads the store: a few routers of each zone do, and report
/// what they read to the others.
pub struct ZoneReaderRole {
    gateway: Arc<Gateway>,
    fallbacks: Mutex<Fallbacks>, // a leaf lock
}

/// Reasons to read the store that builds of peers give.
#[derive(Default)]
struct Fallbacks {
    cordons: ReadFallback, // they do not report cordons
    eras: ReadFallback,    // they do not compare the store's eras
}

/// Whether this router reads the store because its peers do not tell something.
#[derive(Default)]
struct ReadFallback {
    missing_since: Option<Moment>,
    reads_until: Moment,
}

impl ReadFallback {
    fn is_needed(
        &mut self,
        now: Moment,
        is_told: bool,
        limit: Duration,
    ) -> bool {
        let since = *self.missing_since.get_or_insert(now);
        if is_told {
            self.missing_since = None;
        } else if now.saturating_sub(since) >= limit {
            self.reads_until = now + FALLBACK_PERIOD;
        }
        now < self.reads_until
    }
}

impl ZoneReaderRole {
    /// Decides for the router of `gateway`.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self {
            gateway,
            fallbacks: Mutex::default(),
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
        let has_reader_with_eras = gateway.peers.has_reader_with_eras(now, ERA_READER_AGE);
        let is_told_too_little = {
            let mut fallbacks = self.fallbacks.lock().expect("fallbacks lock");
            let for_cordons =
                fallbacks
                    .cordons
                    .is_needed(now, cordons_up_to_date, CORDON_LAG_LIMIT);
            let for_eras = fallbacks
                .eras
                .is_needed(now, has_reader_with_eras, ERA_READER_AGE);
            for_cordons || for_eras
        };
        let reads = lacks_catalog
            || is_told_too_little
            || gateway
                .peers
                .is_store_reader(now, PEER_SILENCE_LIMIT, is_store_unavailable);
        if gateway.store_reads.set_reader(now, reads) {
            log::info!(
                reads = reads, lost = is_store_unavailable, era = era_of(version.upstreams),
                upstreams_at = counter_of(version.upstreams);
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
