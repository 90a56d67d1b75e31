use {
    crate::{
        catalog::UpstreamEntry,
        policy::{
            Moment, NoticeTracker,
            placement::{
                BaselinePace, CacheEventBatch, EngineLatency, FleetSize, InFlightId,
                InFlightRequest, LatencyModels, PartPlacement, PlacementSettings, ReplicaView,
                SharedParts, StreamDurations, TargetPauses, TypicalPrompts,
            },
            slow_start::{SlowStartLimit, ZoneRouters},
        },
        routing::AllowedRegions,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// A router's view of all replicas and their load. It chooses the replica of each request.
#[derive(Debug)]
pub struct ReplicaTable {
    pub(super) settings: PlacementSettings,
    pub(super) replicas: BTreeMap<Arc<str>, ReplicaView>,
    ids_by_start: HashMap<u32, Arc<str>>, // by start hash
    pub(super) in_flight: HashMap<InFlightId, InFlightRequest>,
    pub(super) latency_models: LatencyModels,
    pub(super) typical_prompts: TypicalPrompts,
    pub(super) baseline_paces: HashMap<Arc<str>, BaselinePace>, // by service
    pub(super) refreshed: Moment,                               // the last refresh of the estimates
    pub(super) target_pauses: TargetPauses,
    pub(super) stream_durations: StreamDurations,
    pub(super) next_id: InFlightId,
    pub(super) placements: Vec<PartPlacement>, // to be announced in this zone
    pub(super) zone_placements: Vec<PartPlacement>, // shared parts only, for other zones
    pub(super) cache_events: Vec<(u32, CacheEventBatch)>, // to be forwarded, by start hash
    pub(super) zone_evictions: Vec<(u32, CacheEventBatch)>, // of shared parts, for other zones
    pub(super) shared_parts: SharedParts,
    pub(super) report_interval: Duration, // between two load reports of a router
    pub(super) fleet_size: FleetSize,
    cordoned: BTreeSet<String>,        // zones that get no new requests
    regions: BTreeMap<String, String>, // by zone
    pub(super) start_limits: HashMap<Arc<str>, SlowStartLimit>, // slow-start limits by service
    pub(super) zone_routers: ZoneRouters,
    pub(super) notices: NoticeTracker, // notices of replicas about themselves
}

/// Report intervals after which a peer's last report is ignored.
const MAX_MISSED_REPORTS: u32 = 3;

impl ReplicaTable {
    /// Starts without replicas.
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            replicas: BTreeMap::new(),
            ids_by_start: HashMap::new(),
            in_flight: HashMap::new(),
            latency_models: LatencyModels::default(),
            typical_prompts: TypicalPrompts::default(),
            baseline_paces: HashMap::new(),
            refreshed: Moment::ZERO,
            target_pauses: TargetPauses::default(),
            stream_durations: StreamDurations::default(),
            next_id: 1,
            placements: Vec::new(),
            zone_placements: Vec::new(),
            cache_events: Vec::new(),
            zone_evictions: Vec::new(),
            shared_parts: SharedParts::default(),
            report_interval: Duration::ZERO,
            fleet_size: FleetSize::default(),
            cordoned: BTreeSet::new(),
            regions: BTreeMap::new(),
            start_limits: HashMap::new(),
            zone_routers: ZoneRouters::default(),
            notices: NoticeTracker::default(),
        }
    }

    /// Replaces the settings.
    pub fn set_settings(
        &mut self,
        settings: PlacementSettings,
    ) {
        self.settings = settings;
    }

    /// Sets the interval between the load reports of a router, and the number of routers.
    pub fn set_reporting(
        &mut self,
        interval: Duration,
        fleet_size: FleetSize,
    ) {
        self.report_interval = interval;
        self.fleet_size = fleet_size;
    }

    /// Age beyond which a peer's load report is ignored. In large fleets, where reports are
    /// less frequent, it spans several report intervals.
    pub fn max_report_age(&self) -> Duration {
        self.settings
            .peer_age
            .max(self.report_interval * MAX_MISSED_REPORTS)
    }

    /// Replaces the list of replicas. State of replicas that are not listed is dropped. Returns
    /// the ids of replicas that have restarted, whose state is reset.
    pub fn set_entries(
        &mut self,
        now: Moment,
        entries: Vec<Arc<UpstreamEntry>>,
    ) -> Vec<Arc<str>> {
        let mut restarted = Vec::new();
        let listed: HashMap<&str, &Arc<UpstreamEntry>> =
            entries.iter().map(|entry| (&*entry.id, entry)).collect();
        self.replicas.retain(|id, _| listed.contains_key(&**id));
        self.notices.set_listed(now, &entries);
        for entry in &entries {
            match self.replicas.get_mut(&entry.id) {
                Some(view) if view.entry.is_same_start(entry) => {
                    if !Arc::ptr_eq(&view.entry, entry) {
                        view.slow_start
                            .set_remaining(now, entry.slow_start_remaining);
                    }
                    view.entry = entry.clone();
                }
                known => {
                    restarted.extend(known.map(|_| entry.id.clone()));
                    let mut view = ReplicaView::new(entry.clone());
                    view.slow_start
                        .set_remaining(now, entry.slow_start_remaining);
                    self.replicas.insert(entry.id.clone(), view);
                }
            }
        }
        let views = self.replicas.iter();
        self.ids_by_start = views
            .map(|(id, view)| (view.start_hash, id.clone()))
            .collect();
        restarted
    }

    /// Replaces the set of cordoned zones, which get no new requests.
    pub fn set_cordoned(
        &mut self,
        zones: BTreeSet<String>,
    ) {
        self.cordoned = zones;
    }

    /// Replaces the regions of the zones, by zone.
    pub fn set_regions(
        &mut self,
        regions: BTreeMap<String, String>,
    ) {
        self.regions = regions;
    }

    /// Whether a replica is in one of the allowed regions, or there is no restriction.
    pub(super) fn is_allowed(
        &self,
        regions: Option<&AllowedRegions>,
        entry: &UpstreamEntry,
    ) -> bool {
        let region = || self.regions.get(&*entry.zone).map(String::as_str);
        regions.is_none_or(|allowed| allowed.contains(region()))
    }

    /// Whether a replica's zone is cordoned.
    pub fn is_cordoned(
        &self,
        entry: &UpstreamEntry,
    ) -> bool {
        !self.cordoned.is_empty() && self.cordoned.contains(&*entry.zone)
    }

    /// Looks up a replica by its id.
    pub fn replica(
        &self,
        id: &str,
    ) -> Option<&ReplicaView> {
        self.replicas.get(id)
    }

    /// Looks up a replica by its id, for modification.
    pub fn replica_mut(
        &mut self,
        id: &str,
    ) -> Option<&mut ReplicaView> {
        self.replicas.get_mut(id)
    }

    /// Looks up a replica by its start hash, the hash of its id and start time, for modification.
    pub fn by_start_hash(
        &mut self,
        start: u32,
    ) -> Option<&mut ReplicaView> {
        let id = self.ids_by_start.get(&start)?;
        self.replicas.get_mut(id)
    }

    /// All replicas, in the order of their ids.
    pub fn replicas(&self) -> impl Iterator<Item = &ReplicaView> {
        self.replicas.values()
    }

    /// Modelled times of the engines of a service.
    pub fn engine_latency(
        &self,
        service: &str,
    ) -> EngineLatency {
        self.latency_models.times(service)
    }
}
