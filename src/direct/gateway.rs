use {
    super::{dialect::Dialect, upstream_pool::UpstreamPool},
    crate::{
        catalog::Catalog,
        conf::DirectSettings,
        fleet::Revision,
        ops::{AuditTrail, Uptime},
        peers::{NamedRouter, PeerTable, ZoneTable},
        policy::{
            Incarnation, Moment, Neighbour, neighbour_for,
            placement::ReplicaBoard,
            shares::{RetryWindow, ShareBook},
            short_name,
        },
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, RwLock,
            atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Notify,
};

/// A process that is this far behind its timers refuses requests: what it read
/// now would be sent on too late, by knowledge that is old. A fifth of the shortest
/// aims that are usual (300 ms): nobody waits longer than that for a refusal.
const MOST_LAG: Duration = Duration::from_millis(60);

/// When callers come back to a router that has more of them than its processor
/// serves. The balancer asks once a second and takes a router out that was twice
/// not ready: earlier they meet the same router, and cost it as much again.
const BUSY_RETRY: Duration = Duration::from_millis(1500);

/// A router that could not read the store leaves that to others of its zone for this
/// long.
const STORE_LOST: Duration = Duration::from_secs(10);

/// The shared tables of a router that carries requests itself.
///
/// Lock order: `board`, `shares`, `retries`, then leaf locks (catalog, pool,
/// peers). None is held across an await.
pub struct Gateway {
    settings: RwLock<Arc<DirectSettings>>, // a leaf lock
    pub dialect: Dialect,
    pub incarnation: Incarnation,
    pub uptime: Uptime,
    pub audit: AuditTrail,
    pub catalog: Arc<Catalog>,
    pub pool: UpstreamPool,
    pub peers: PeerTable,      // the routers of the own zone, and some others
    pub zones: ZoneTable,      // the other zones
    pub report_wanted: Notify, // peers should be told before the regular time
    board: Mutex<ReplicaBoard>,
    shares: Mutex<ShareBook>,
    retries: Mutex<RetryWindow>,
    stopping: AtomicBool,
    refusing: AtomicBool,               // stops, and takes no more requests
    lag_ms: AtomicU64,                  // of the process behind its timers
    busy: AtomicU8,                     // part of the time with work for its processor, in percent
    paused: AtomicBool,                 // lets callers go elsewhere, being short of processor
    crowded: AtomicBool,                // more connections of callers than are kept
    reading: AtomicBool,                // reads the store for its zone
    store_lost_ms: AtomicU64, // when it last could not, since the start; 0 if it could since
    neighbours: RwLock<Vec<Neighbour>>, // that take callers over; a leaf lock
}

impl Gateway {
    /// A router that knows nothing yet.
    pub fn new(
        settings: DirectSettings,
        dialect: Dialect,
        catalog: Arc<Catalog>,
    ) -> Self {
        let retries = RetryWindow::new(
            settings.retry_window,
            settings.retry_ratio,
            settings.retry_extra,
        );
        let own = NamedRouter {
            address: settings.peers,
            zone: short_name(&settings.process.zone),
        };
        Self {
            dialect,
            incarnation: Uptime::new_incarnation(),
            uptime: Uptime::start(),
            audit: AuditTrail::new(&settings.process.host, settings.operator.audit_entries),
            catalog,
            pool: UpstreamPool::default(),
            peers: PeerTable::new(own, &settings.seeds),
            zones: ZoneTable::default(),
            report_wanted: Notify::new(),
            board: Mutex::new(ReplicaBoard::new(settings.placement)),
            shares: Mutex::new(ShareBook::new(settings.share_window, settings.peer_age)),
            retries: Mutex::new(retries),
            stopping: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            lag_ms: AtomicU64::new(0),
            busy: AtomicU8::new(0),
            paused: AtomicBool::new(false),
            crowded: AtomicBool::new(false),
            reading: AtomicBool::new(true),
            store_lost_ms: AtomicU64::new(0),
            neighbours: RwLock::default(),
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
        self.shares()
            .set_window(settings.share_window, settings.peer_age);
        self.retries.lock().expect("retries lock").set_bounds(
            settings.retry_window,
            settings.retry_ratio,
            settings.retry_extra,
        );
        self.peers.add_seeds(&settings.seeds);
        *self.settings.write().expect("settings lock") = Arc::new(settings);
    }

    /// Time since the start.
    pub fn now(&self) -> Moment {
        self.uptime.now()
    }

    /// The replicas and what is at them.
    pub fn board(&self) -> MutexGuard<'_, ReplicaBoard> {
        self.board.lock().expect("board lock")
    }

    /// What accounts asked for and got.
    pub fn shares(&self) -> MutexGuard<'_, ShareBook> {
        self.shares.lock().expect("shares lock")
    }

    /// Counts a first attempt at a service.
    pub fn count_request(
        &self,
        service: &str,
    ) {
        let mut retries = self.retries.lock().expect("retries lock");
        retries.request(self.now(), service);
    }

    /// Takes a repeat from the service's budget.
    pub fn take_retry(
        &self,
        service: &str,
    ) -> bool {
        let routers = self.router_count();
        let mut retries = self.retries.lock().expect("retries lock");
        retries.take(self.now(), service, routers)
    }

    /// Routers in the fleet as far as known, this one too; never fewer than
    /// there are seeds.
    pub fn router_count(&self) -> usize {
        let settings = self.settings();
        let now = self.now();
        let near = self.peers.alive(now, settings.peer_forget) + 1;
        let far = self.zones.routers(now, settings.peer_forget);
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

    /// Whether what arrives waits too long for the processor to be served.
    pub fn is_choked(&self) -> bool {
        self.lag_ms.load(Ordering::Relaxed) > MOST_LAG.as_millis() as u64
    }

    /// The least time after which callers that are refused should come back: some
    /// while where this router has more of them than its processor serves.
    pub fn least_retry(&self) -> Duration {
        let most_busy = self.settings().most_busy * 100.0;
        if self.is_choked() || f64::from(self.busy_percent()) > most_busy {
            BUSY_RETRY
        } else {
            Duration::ZERO
        }
    }

    /// Notes how far the process is behind its timers. Whether it is choked, if
    /// that changed.
    pub fn set_lag(
        &self,
        lag: Duration,
    ) -> Option<bool> {
        let before = self.is_choked();
        self.lag_ms.store(lag.as_millis() as u64, Ordering::Relaxed);
        let choked = self.is_choked();
        (choked != before).then_some(choked)
    }

    /// Notes which part of the time the process has work for its processor, 0 to 1.
    pub fn set_busy(
        &self,
        share: f64,
    ) {
        self.busy.store((share * 100.0) as u8, Ordering::Relaxed);
    }

    /// The part of the time with work for the processor, in percent.
    pub fn busy_percent(&self) -> u8 {
        self.busy.load(Ordering::Relaxed)
    }

    /// Lets callers go elsewhere, or takes them again. Whether that is new.
    pub fn set_paused(
        &self,
        paused: bool,
    ) -> bool {
        self.paused.swap(paused, Ordering::Relaxed) != paused
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

    /// Whether this router reads the store for its zone.
    pub fn reads_store(&self) -> bool {
        self.reading.load(Ordering::Relaxed)
    }

    /// Notes whether it does. Whether that is new.
    pub fn set_reading(
        &self,
        reading: bool,
    ) -> bool {
        self.reading.swap(reading, Ordering::Relaxed) != reading
    }

    /// Notes whether the store could not be read.
    pub fn set_store_lost(
        &self,
        lost: bool,
    ) {
        let now = self.now().as_millis() as u64;
        let at = if lost { now.max(1) } else { 0 };
        self.store_lost_ms.store(at, Ordering::Relaxed);
    }

    /// Whether the store could not be read here of late: others should read it.
    pub fn has_lost_store(&self) -> bool {
        let at = self.store_lost_ms.load(Ordering::Relaxed);
        let now = self.now().as_millis() as u64;
        at > 0 && now.saturating_sub(at) <= STORE_LOST.as_millis() as u64
    }

    /// Notes who takes callers over; empty where none is to. Whether it is new that
    /// someone does, or that nobody does.
    pub fn set_neighbours(
        &self,
        neighbours: Vec<Neighbour>,
    ) -> bool {
        let mut known = self.neighbours.write().expect("neighbours lock");
        let changed = known.is_empty() != neighbours.is_empty();
        *known = neighbours;
        changed
    }

    /// Who takes the next connection of a caller over, if anyone should. `draw` is
    /// from 0 to 1.
    pub fn neighbour(
        &self,
        draw: f64,
    ) -> Option<SocketAddr> {
        let known = self.neighbours.read().expect("neighbours lock");
        neighbour_for(&known, draw)
    }

    /// Whether callers' connections are handed on.
    pub fn hands_on(&self) -> bool {
        !self.neighbours.read().expect("neighbours lock").is_empty()
    }

    /// Whether answers should end their connections.
    pub fn closes_connections(&self) -> bool {
        let sheds = self.is_paused() || self.hands_on();
        self.is_stopping() || sheds || self.crowded.load(Ordering::Relaxed)
    }

    /// Whether callers are let go elsewhere, since the processor is short.
    pub fn is_paused(&self) -> bool {
        self.paused.load(Ordering::Relaxed)
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let version = self.catalog.version();
        !self.is_stopping() && !self.is_paused() && version.config > 0 && version.upstreams > 0
    }

    /// Keeps the board and the pool in step with the list of replicas.
    pub async fn follow_catalog(self: Arc<Self>) {
        let mut changes = self.catalog.subscribe();
        let mut known = 0;
        loop {
            let version = self.catalog.version();
            if version.config != known {
                known = version.config;
                let revision = Some(Revision(known));
                let detail = format!("configuration {known} in force");
                self.audit.record("config_accepted", revision, None, detail);
            }
            if let Some(table) = self.catalog.config() {
                self.shares().set_capacity(table.limits.tokens_per_s);
            }
            let entries = self.catalog.upstreams();
            self.board().set_entries(entries.clone());
            self.pool
                .keep_only(|id| entries.iter().any(|entry| &*entry.id == id));
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Closes connections that have rested too long.
    pub async fn tidy_pool(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            self.pool.tidy();
        }
    }
}
