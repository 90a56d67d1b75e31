use {
    super::{
        abandoned_attempts::AbandonedAttempts, account_log::AccountLog, dialect::Dialect,
        exit_checks::ExitChecks, forwarding_log::ForwardingLog, neighbour_checks::NeighbourChecks,
        processor_state::ProcessorState, store_read_state::StoreReadState, uploads::Uploads,
        upstream_pool::UpstreamPool,
    },
    crate::{
        callers::CallerLedger,
        catalog::{Catalog, CatalogVersion},
        conf::DirectSettings,
        ops::{AuditTrail, SUSPENSIONS, Uptime},
        peers::{
            PEER_SILENCE_LIMIT, PeerTable, RouterContact, StreamOrigins, ZoneTable,
            find_stream_origin,
        },
        policy::{
            Incarnation, Moment, SuspensionGuard, name_hash,
            placement::ReplicaTable,
            shares::{RetryWindow, ShareTracker},
            slow_start::ZoneRouters,
            stable_hash,
            streams::{SoftwareVersion, StreamKey},
            suspects::Suspects,
        },
        routing::RequestLimits,
    },
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError, RwLock,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, watch},
};

/// The shared state of a router in the direct form.
///
/// Lock order: a connection's `AnswerBuffer`, `replica_table`, `shares`, `retries`, then leaf
/// locks, under which no other lock is taken (account log, neighbour checks,
/// suspects, abandoned attempts, suspension, catalog,
/// pool, peers, stream origins). None is held across an await.
pub struct Gateway {
    settings: RwLock<Arc<DirectSettings>>, // a leaf lock
    pub dialect: Dialect,
    pub incarnation: Incarnation,
    pub uptime: Uptime,
    pub audit: AuditTrail,
    pub catalog: Arc<Catalog>,
    pub pool: UpstreamPool,
    pub exit_checks: ExitChecks,
    pub(super) abandoned_attempts: AbandonedAttempts,
    pub peers: PeerTable, // the routers of the own zone, and some of others
    pub zones: ZoneTable, // the other zones
    pub stream_origins: StreamOrigins, // software versions at which streams began
    pub processor: ProcessorState,
    pub store_reads: StoreReadState, // whether this router reads the store, and whether it answers
    pub early_report: Notify, // wakes the task that reports to peers before the regular interval
    pub(super) account_log: AccountLog,
    pub(super) neighbour_checks: NeighbourChecks,
    pub(super) forwarding_log: ForwardingLog,
    pub callers: Arc<CallerLedger>, // what callers' connections take
    pub(super) answer_bytes: Arc<AtomicU64>, // buffered answers
    pub(super) request_bytes: Arc<AtomicU64>, // buffered request bodies
    pub(super) uploads: Uploads,
    replica_table: Mutex<ReplicaTable>,
    shares: Mutex<ShareTracker>,
    retries: Mutex<RetryWindow>,
    suspects: Mutex<Suspects>,          // a leaf lock
    suspension: Mutex<SuspensionGuard>, // a leaf lock
    stopping: AtomicBool,
    refusing: AtomicBool,                 // stopping, and refuses requests
    placement_started: AtomicBool,        // a configuration and an upstream list were loaded
    max_head_bytes: watch::Sender<usize>, // of requests, by the configuration in force
    crowded: AtomicBool, // more callers' connections are open than `max_connections`
}

impl Gateway {
    /// A router without configuration, replicas or peers' reports.
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
            address: settings.peer_listen,
            zone: name_hash(&settings.process.zone),
        };
        let (answer_bytes, request_bytes) = (Arc::<AtomicU64>::default(), Arc::default());
        let callers = CallerLedger::new(
            settings.caller_memory,
            vec![answer_bytes.clone(), Arc::clone(&request_bytes)],
        );
        let mut replica_table = ReplicaTable::new(settings.placement);
        replica_table.set_regions(settings.regions.clone());
        Self {
            dialect,
            incarnation: Uptime::new_incarnation(),
            suspension: Mutex::new(SuspensionGuard::new(
                settings.process.pause_limit,
                uptime.now(),
            )),
            uptime,
            audit: AuditTrail::new(&settings.process.host, settings.operator.audit_entries),
            catalog,
            pool: UpstreamPool::default(),
            exit_checks: ExitChecks::default(),
            abandoned_attempts: AbandonedAttempts::default(),
            peers: PeerTable::new(own, &settings.seeds),
            zones: ZoneTable::default(),
            stream_origins: StreamOrigins::default(),
            processor: ProcessorState::default(),
            store_reads: StoreReadState::default(),
            early_report: Notify::new(),
            account_log: AccountLog::default(),
            neighbour_checks: NeighbourChecks::default(),
            forwarding_log: ForwardingLog::default(),
            callers,
            answer_bytes,
            request_bytes,
            uploads: Uploads::default(),
            replica_table: Mutex::new(replica_table),
            shares: Mutex::new(ShareTracker::new(settings.share_window, settings.peer_age)),
            retries: Mutex::new(retries),
            suspects: Mutex::new(Suspects::new(settings.never_held.clone())),
            stopping: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            placement_started: AtomicBool::new(false),
            max_head_bytes: watch::Sender::new(RequestLimits::default().max_header_bytes),
            crowded: AtomicBool::new(false),
            settings: RwLock::new(Arc::new(settings)),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<DirectSettings> {
        self.settings.read().expect("settings lock").clone()
    }

    /// Applies changed settings, except addresses, which a running process cannot change.
    pub fn change_settings(
        &self,
        settings: DirectSettings,
    ) {
        self.replica_table().set_settings(settings.placement);
        self.replica_table().set_regions(settings.regions.clone());
        self.shares()
            .set_window(settings.share_window, settings.peer_age);
        self.retries.lock().expect("retries lock").set_bounds(
            settings.retry_window,
            settings.retry_ratio,
            settings.retry_extra,
        );
        self.suspects().set_exempt(settings.never_held.clone());
        self.peers.add_seeds(&settings.seeds);
        self.callers.set_max_bytes(settings.caller_memory);
        *self.settings.write().expect("settings lock") = Arc::new(settings);
    }

    /// Time since the process started.
    pub fn now(&self) -> Moment {
        self.uptime.now()
    }

    /// Whether the process was suspended and its state is not confirmed since. When a suspension
    /// is detected, idle connections are closed, and upstreams that were still used for a grace
    /// period after their leases ran out are dropped.
    pub fn is_unconfirmed(&self) -> bool {
        let now = self.now();
        let (detected, is_unconfirmed) = {
            let mut suspension = self.suspension.lock().expect("suspension lock");
            (suspension.check(now), suspension.is_unconfirmed(now))
        };
        if let Some(duration) = detected {
            metrics::counter!(SUSPENSIONS).increment(1);
            log::warn!(pause_ms = duration.as_millis() as u64; "the process stood still");
            self.pool.close_all_idle();
            self.catalog.remove_all_lapsed();
        }
        is_unconfirmed
    }

    /// Confirms the state held since a suspension: another router has no newer catalog.
    pub fn confirm_state(&self) {
        let mut suspension = self.suspension.lock().expect("suspension lock");
        suspension.confirm(self.now());
    }

    /// The replicas and the load at each.
    pub fn replica_table(&self) -> MutexGuard<'_, ReplicaTable> {
        lock_after_panics(&self.replica_table)
    }

    /// The tokens that accounts requested and were allocated.
    pub fn shares(&self) -> MutexGuard<'_, ShareTracker> {
        lock_after_panics(&self.shares)
    }

    /// Requests, and parts of prompts, during which replicas crashed.
    pub fn suspects(&self) -> MutexGuard<'_, Suspects> {
        lock_after_panics(&self.suspects)
    }

    /// Whether this router gets reports of more than half of its zone's routers and of more than
    /// half of the zones, and so would hear of what others in the fleet claim.
    pub(super) fn is_connected(&self) -> bool {
        let now = self.now();
        let live = self.zones.representatives(now, PEER_SILENCE_LIMIT).len();
        let known = self.peers.other_zones().len().max(live);
        (live + 1) * 2 > known + 1 && self.zone_routers(now).is_connected(now)
    }

    /// The routers of the own zone, among which one is chosen to send to each replica that has
    /// just started.
    pub fn zone_routers(
        &self,
        now: Moment,
    ) -> ZoneRouters {
        let live = self.peers.live_addresses(now, PEER_SILENCE_LIMIT);
        let live_hashes = live.iter().map(stable_hash).collect();
        let known = self.peers.live_count(now, self.settings().peer_retention);
        ZoneRouters::new(
            now,
            stable_hash(&self.peers.own().address),
            live_hashes,
            known,
        )
    }

    /// Records the software version at which the stream began that answers this attempt, before
    /// its first event is passed on. Other routers are told in the background.
    pub fn record_stream_origin(
        &self,
        attempt_id: &str,
        version: SoftwareVersion,
        time_left: Duration,
    ) {
        if !attempt_id.is_empty() {
            let key = StreamKey::new(attempt_id);
            self.stream_origins
                .record(self.now(), key, version, time_left);
        }
    }

    /// The software version at which the stream began that answered this attempt at any router.
    /// `None` if it is not known, or not for certain, within a part of `time_left`.
    pub async fn find_stream_origin(
        &self,
        attempt_id: &str,
        time_left: Duration,
    ) -> Option<SoftwareVersion> {
        if attempt_id.is_empty() {
            return None;
        }
        let finding = find_stream_origin(self, StreamKey::new(attempt_id), time_left).await;
        finding.version()
    }

    /// Adds a request's tokens to those that its account requested: all that the account is to come
    /// back with, wherever it is refused, is part of what it asks of the fleet.
    pub(super) fn record_requested(
        &self,
        account: Option<&str>,
        tokens: f32,
    ) {
        if let Some(account) = account {
            let now = self.now();
            self.shares()
                .record_requested(now, name_hash(account), tokens);
        }
    }

    /// Counts a call towards the retry budget of its service.
    pub fn count_request(
        &self,
        service: &str,
    ) {
        let mut retries = self.retries.lock().expect("retries lock");
        retries.record_request(self.now(), service);
    }

    /// Whether the service's budget has a retry left.
    pub fn has_retry(
        &self,
        service: &str,
    ) -> bool {
        let routers = self.router_count();
        let mut retries = self.retries.lock().expect("retries lock");
        retries.has_retry(self.now(), service, routers)
    }

    /// Takes a retry from the service's budget. Returns false if the budget is used up.
    pub fn take_retry(
        &self,
        service: &str,
    ) -> bool {
        let routers = self.router_count();
        let mut retries = self.retries.lock().expect("retries lock");
        retries.try_take_retry(self.now(), service, routers)
    }

    /// Number of known routers in the fleet, including this one; at least the number of seeds.
    pub fn router_count(&self) -> usize {
        let settings = self.settings();
        let now = self.now();
        let own_zone = self.peers.live_count(now, settings.peer_retention) + 1;
        let other_zones = self.zones.router_count(now, settings.peer_retention);
        (own_zone + other_zones).max(settings.seeds.len())
    }

    /// Whether the process has begun to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Starts the stop: the router is no longer ready.
    pub fn begin_stopping(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// The least Retry-After for refused callers.
    pub fn min_retry_after(&self) -> Duration {
        self.processor
            .min_retry_after(self.settings().max_busy_share)
    }

    /// Refuses requests from now on.
    pub fn refuse_new(&self) {
        self.refusing.store(true, Ordering::SeqCst);
    }

    /// Whether requests are refused because the router stops.
    pub fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::SeqCst)
    }

    /// The limit on the heads of requests, whose changes wake the connections of callers.
    pub fn max_head_bytes(&self) -> watch::Receiver<usize> {
        self.max_head_bytes.subscribe()
    }

    pub(super) fn set_max_head_bytes(
        &self,
        bytes: usize,
    ) {
        self.max_head_bytes
            .send_if_modified(|current| std::mem::replace(current, bytes) != bytes);
    }

    /// Sets whether more callers' connections are open than `max_connections`.
    pub fn set_crowded(
        &self,
        crowded: bool,
    ) {
        self.crowded.store(crowded, Ordering::Relaxed);
    }

    /// Whether answers should close their connections, so that callers reconnect elsewhere.
    pub fn closes_connections(&self) -> bool {
        let sheds_callers = self.processor.is_paused() || self.processor.is_forwarding();
        self.is_stopping() || sheds_callers || self.crowded.load(Ordering::Relaxed)
    }

    /// Whether this router cannot read the store, so that another of the zone should.
    pub fn is_store_unavailable(&self) -> bool {
        let apply = self.settings().store_pacing.apply;
        self.store_reads.is_unavailable(self.now(), apply)
    }

    /// Whether the list of replicas is known to be current: routers of the zone can read the
    /// store.
    pub fn is_list_confirmed(&self) -> bool {
        let age = self.settings().peer_age;
        let own_reads_fail = self.is_store_unavailable();
        !self.store_reads.is_awaiting_first_answer()
            && !self
                .peers
                .is_store_unreachable(self.now(), age, own_reads_fail)
    }

    /// Records that a configuration and an upstream list are loaded, so that requests can be
    /// placed.
    pub(super) fn start_placement(&self) {
        self.placement_started.store(true, Ordering::Relaxed);
    }

    /// Whether a configuration and an upstream list were loaded.
    pub(super) fn is_placement_started(&self) -> bool {
        self.placement_started.load(Ordering::Relaxed)
    }

    /// Whether the load balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && !self.processor.is_paused() && self.version_in_use().is_complete()
    }

    /// The version of the catalog by which requests are placed; the default version before
    /// placement started.
    pub fn version_in_use(&self) -> CatalogVersion {
        match self.is_placement_started() {
            true => self.catalog.version(),
            false => CatalogVersion::default(),
        }
    }
}

/// Locks a table of estimates also after a panic under its lock: they are corrected by what
/// replicas and other routers report, and without them no request would be answered.
fn lock_after_panics<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
