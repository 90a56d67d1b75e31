use {
    super::{
        dialect::Dialect, end_checks::EndChecks, left_runs::LeftRuns,
        processor_state::ProcessorState, store_reading::StoreReading, upstream_pool::UpstreamPool,
    },
    crate::{
        catalog::{Catalog, CatalogVersion},
        conf::DirectSettings,
        ops::{AuditTrail, PAUSES, Uptime},
        peers::{PeerTable, RouterContact, ZoneTable},
        policy::{
            Incarnation, Moment, SuspensionGuard, name_hash,
            placement::ReplicaTable,
            shares::{RetryWindow, ShareTracker},
            suspects::SuspectTracker,
        },
    },
    std::{
        sync::{
            Arc, Mutex, MutexGuard, RwLock,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Notify,
};

/// The shared tables of a router that carries requests itself.
///
/// Lock order: a connection's `UnsentAnswer`, `board`, `shares`, `retries`, then leaf locks (suspects, left runs,
/// standstill, catalog, pool, peers). None is held across an await.
pub struct Gateway {
    settings: RwLock<Arc<DirectSettings>>, // a leaf lock
    pub dialect: Dialect,
    pub incarnation: Incarnation,
    pub uptime: Uptime,
    pub audit: AuditTrail,
    pub catalog: Arc<Catalog>,
    pub pool: UpstreamPool,
    pub end_checks: EndChecks,
    pub(super) left_runs: LeftRuns,
    pub peers: PeerTable, // the routers of the own zone, and some others
    pub zones: ZoneTable, // the other zones
    pub processor: ProcessorState,
    pub reading: StoreReading,                // of the store
    pub report_wanted: Notify,                // peers should be told before the regular time
    pub(super) answer_bytes: Arc<AtomicU64>,  // held for callers' connections
    pub(super) request_bytes: Arc<AtomicU64>, // held of requests
    board: Mutex<ReplicaTable>,
    shares: Mutex<ShareTracker>,
    retries: Mutex<RetryWindow>,
    suspects: Mutex<SuspectTracker>,    // a leaf lock
    standstill: Mutex<SuspensionGuard>, // a leaf lock
    stopping: AtomicBool,
    refusing: AtomicBool, // stops, and takes no more requests
    placing: AtomicBool,  // the board follows a configuration and a list
    crowded: AtomicBool,  // more connections of callers than are kept
}

impl Gateway {
    /// A router that knows nothing yet.
    pub fn new(
        settings: DirectSettings,
        dialect: Dialect,
        catalog: Arc<Catalog>,
    ) -> Self {
        let uptime = Uptime::start();
        let retries = RetryWindow::new(
            settings.retry_window,
            settings.retry_ratio,
            settings.retry_extra,
        );
        let own = RouterContact {
            address: settings.peers,
            zone: name_hash(&settings.process.zone),
        };
        let mut board = ReplicaTable::new(settings.placement);
        board.set_regions(settings.regions.clone());
        Self {
            dialect,
            incarnation: Uptime::new_incarnation(),
            standstill: Mutex::new(SuspensionGuard::new(
                settings.process.pause_limit,
                uptime.now(),
            )),
            uptime,
            audit: AuditTrail::new(&settings.process.host, settings.operator.audit_entries),
            catalog,
            pool: UpstreamPool::default(),
            end_checks: EndChecks::default(),
            left_runs: LeftRuns::default(),
            peers: PeerTable::new(own, &settings.seeds),
            zones: ZoneTable::default(),
            processor: ProcessorState::default(),
            reading: StoreReading::default(),
            report_wanted: Notify::new(),
            answer_bytes: Arc::default(),
            request_bytes: Arc::default(),
            board: Mutex::new(board),
            shares: Mutex::new(ShareTracker::new(settings.share_window, settings.peer_age)),
            retries: Mutex::new(retries),
            suspects: Mutex::new(SuspectTracker::new(settings.let_through.clone())),
            stopping: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            placing: AtomicBool::new(false),
            crowded: AtomicBool::new(false),
            settings: RwLock::new(Arc::new(settings)),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<DirectSettings> {
        self.settings.read().expect("settings lock").clone()
    }

    /// Puts changed settings in force, but for addresses, which a running
    /// process keeps.
    pub fn change_settings(
        &self,
        settings: DirectSettings,
    ) {
        self.board().set_settings(settings.placement);
        self.board().set_regions(settings.regions.clone());
        self.shares()
            .set_window(settings.share_window, settings.peer_age);
        self.retries.lock().expect("retries lock").set_bounds(
            settings.retry_window,
            settings.retry_ratio,
            settings.retry_extra,
        );
        self.suspects().set_exempt(settings.let_through.clone());
        self.peers.add_seeds(&settings.seeds);
        *self.settings.write().expect("settings lock") = Arc::new(settings);
    }

    /// Time since the start.
    pub fn now(&self) -> Moment {
        self.uptime.now()
    }

    /// Whether the process stood still and what it knows is not confirmed yet. Connections
    /// at rest and upstreams kept for a moment are given up when that is noticed.
    pub fn is_unconfirmed(&self) -> bool {
        let now = self.now();
        let (pause, is_unconfirmed) = {
            let mut standstill = self.standstill.lock().expect("standstill lock");
            (standstill.check(now), standstill.is_unconfirmed(now))
        };
        if let Some(pause) = pause {
            metrics::counter!(PAUSES).increment(1);
            log::warn!(pause_ms = pause.as_millis() as u64; "the process stood still");
            self.pool.forget_all_resting();
            self.catalog.remove_all_lapsed();
        }
        is_unconfirmed
    }

    /// Another router has come no further than this one: what is known here is confirmed.
    pub fn confirm_known(&self) {
        let mut standstill = self.standstill.lock().expect("standstill lock");
        standstill.confirm(self.now());
    }

    /// The replicas and what is at them.
    pub fn board(&self) -> MutexGuard<'_, ReplicaTable> {
        self.board.lock().expect("board lock")
    }

    /// What accounts asked for and got.
    pub fn shares(&self) -> MutexGuard<'_, ShareTracker> {
        self.shares.lock().expect("shares lock")
    }

    /// Requests under which replicas ended.
    pub fn suspects(&self) -> MutexGuard<'_, SuspectTracker> {
        self.suspects.lock().expect("suspects lock")
    }

    /// Counts a first attempt at a service.
    pub fn count_request(
        &self,
        service: &str,
    ) {
        let mut retries = self.retries.lock().expect("retries lock");
        retries.record_request(self.now(), service);
    }

    /// Takes a repeat from the service's budget.
    pub fn take_retry(
        &self,
        service: &str,
    ) -> bool {
        let routers = self.router_count();
        let mut retries = self.retries.lock().expect("retries lock");
        retries.try_take_retry(self.now(), service, routers)
    }

    /// Routers in the fleet as far as known, this one too; never fewer than
    /// there are seeds.
    pub fn router_count(&self) -> usize {
        let settings = self.settings();
        let now = self.now();
        let near = self.peers.live_count(now, settings.peer_forget) + 1;
        let far = self.zones.router_count(now, settings.peer_forget);
        (near + far).max(settings.seeds.len())
    }

    /// Whether the process has begun to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Begins to stop.
    pub fn begin_stopping(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// The least time after which callers that are refused should come back.
    pub fn least_retry(&self) -> Duration {
        self.processor.least_retry(self.settings().most_busy)
    }

    /// Refuses requests from now on.
    pub fn refuse_new(&self) {
        self.refusing.store(true, Ordering::SeqCst);
    }

    /// Whether requests are refused because the router stops.
    pub fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::SeqCst)
    }

    /// Whether more connections of callers are open than are kept.
    pub fn crowded(
        &self,
        crowded: bool,
    ) {
        self.crowded.store(crowded, Ordering::Relaxed);
    }

    /// Whether answers should end their connections.
    pub fn closes_connections(&self) -> bool {
        let sheds = self.processor.is_paused() || self.processor.hands_on();
        self.is_stopping() || sheds || self.crowded.load(Ordering::Relaxed)
    }

    /// Whether others of the zone should read the store.
    pub fn is_store_lost(&self) -> bool {
        let apply = self.settings().catalog_pace.apply;
        self.reading.is_lost(self.now(), apply)
    }

    /// Requests are placed by a configuration and a list from now on.
    pub(super) fn begin_placing(&self) {
        self.placing.store(true, Ordering::Relaxed);
    }

    /// Whether requests are placed by a configuration and a list.
    pub(super) fn is_placing(&self) -> bool {
        self.placing.load(Ordering::Relaxed)
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && !self.processor.is_paused() && self.version_in_use().is_complete()
    }

    /// How far the catalog had come when requests were first placed by it, and has come
    /// since; nothing before.
    pub fn version_in_use(&self) -> CatalogVersion {
        match self.is_placing() {
            true => self.catalog.version(),
            false => CatalogVersion::default(),
        }
    }
}
