use {
    crate::{
        catalog::UpstreamEntry,
        policy::{
            Moment, NoticeTracker,
            placement::{
                CacheNote, EngineModels, EngineTimes, FleetSize, KeptNews, PauseAims,
                PlacementSettings, ReplicaView, RunLengths, SharedParts, UsualPace, UsualReadings,
                Work, WorkNumber,
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

/// The replicas, what is at them, and who gets the next request.
#[derive(Debug)]
pub struct ReplicaBoard {
    pub(super) settings: PlacementSettings,
    pub(super) replicas: BTreeMap<Arc<str>, ReplicaView>,
    keys: HashMap<u32, Arc<str>>, // ids by key
    pub(super) works: HashMap<WorkNumber, Work>,
    pub(super) engines: EngineModels,
    pub(super) usual: UsualReadings,
    pub(super) usual_paces: HashMap<Arc<str>, UsualPace>, // by service
    pub(super) looked: Moment, // when what was seen of replicas was last looked at
    pub(super) pause_aims: PauseAims,
    pub(super) run_lengths: RunLengths,
    pub(super) next_work: WorkNumber,
    pub(super) notes: Vec<CacheNote>, // parts that were sent to replicas anew
    pub(super) zone_notes: Vec<CacheNote>, // the same by the routers of the zone, shared parts only
    pub(super) kept_news: Vec<(u32, KeptNews)>, // of replicas that this router follows
    pub(super) zone_kept_news: Vec<(u32, KeptNews)>, // the same, shared parts given up only
    pub(super) shared_parts: SharedParts,
    pub(super) report_pace: Duration, // between two reports of a peer
    pub(super) fleet: FleetSize,      // that chooses by the same reports
    cordoned: BTreeSet<String>,       // zones that get no new work
    regions: BTreeMap<String, String>, // of zones, by zone
    pub(super) start_limits: HashMap<Arc<str>, SlowStartLimit>, // by service
    pub(super) zone_routers: ZoneRouters, // who sends to replicas that start slowly
    pub(super) notices: NoticeTracker, // what replicas said of themselves
}

/// Reports of a peer that may be lost before the last one is no longer believed.
const MISSED_REPORTS: u32 = 3;

impl ReplicaBoard {
    /// A board without replicas.
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            replicas: BTreeMap::new(),
            keys: HashMap::new(),
            works: HashMap::new(),
            engines: EngineModels::default(),
            usual: UsualReadings::default(),
            usual_paces: HashMap::new(),
            looked: Moment::ZERO,
            pause_aims: PauseAims::default(),
            run_lengths: RunLengths::default(),
            next_work: 1,
            notes: Vec::new(),
            zone_notes: Vec::new(),
            kept_news: Vec::new(),
            zone_kept_news: Vec::new(),
            shared_parts: SharedParts::default(),
            report_pace: Duration::ZERO,
            fleet: FleetSize::default(),
            cordoned: BTreeSet::new(),
            regions: BTreeMap::new(),
            start_limits: HashMap::new(),
            zone_routers: ZoneRouters::default(),
            notices: NoticeTracker::default(),
        }
    }

    /// Puts changed bounds in force.
    pub fn set_settings(
        &mut self,
        settings: PlacementSettings,
    ) {
        self.settings = settings;
    }

    /// How far apart the reports of each router are, and how many routers choose
    /// by them.
    pub fn set_reports(
        &mut self,
        pace: Duration,
        fleet: FleetSize,
    ) {
        self.report_pace = pace;
        self.fleet = fleet;
    }

    /// How long a peer's report is believed: where there are so many routers that
    /// each is told seldom, until some reports should have come.
    pub fn belief_age(&self) -> Duration {
        self.settings
            .peer_age
            .max(self.report_pace * MISSED_REPORTS)
    }

    /// Takes in the newest list. Replicas that it lacks are forgotten, and those that have
    /// started again, which are given, begin anew.
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
                        view.start_pace.set_remaining(now, entry.slow_start_remaining);
                    }
                    view.entry = entry.clone();
                }
                known => {
                    restarted.extend(known.map(|_| entry.id.clone()));
                    let mut view = ReplicaView::new(entry.clone());
                    view.start_pace.set_remaining(now, entry.slow_start_remaining);
                    self.replicas.insert(entry.id.clone(), view);
                }
            }
        }
        let views = self.replicas.iter();
        self.keys = views.map(|(id, view)| (view.start, id.clone())).collect();
        restarted
    }

    /// Zones get no new work from now on; those that are not named do.
    pub fn set_cordoned(
        &mut self,
        zones: BTreeSet<String>,
    ) {
        self.cordoned = zones;
    }

    /// In which regions zones are.
    pub fn set_regions(
        &mut self,
        regions: BTreeMap<String, String>,
    ) {
        self.regions = regions;
    }

    /// Whether a request that may be served in some regions only may be served by a replica.
    pub(super) fn is_allowed(
        &self,
        regions: Option<&AllowedRegions>,
        entry: &UpstreamEntry,
    ) -> bool {
        let region = || self.regions.get(&*entry.zone).map(String::as_str);
        regions.is_none_or(|allowed| allowed.contains(region()))
    }

    /// Whether a replica's zone gets no new work.
    pub fn is_cordoned(
        &self,
        entry: &UpstreamEntry,
    ) -> bool {
        !self.cordoned.is_empty() && self.cordoned.contains(&*entry.zone)
    }

    /// A replica by its id.
    pub fn replica(
        &self,
        id: &str,
    ) -> Option<&ReplicaView> {
        self.replicas.get(id)
    }

    /// A replica by its id, to be changed.
    pub fn replica_mut(
        &mut self,
        id: &str,
    ) -> Option<&mut ReplicaView> {
        self.replicas.get_mut(id)
    }

    /// A replica by its short name.
    pub fn by_key(
        &mut self,
        key: u32,
    ) -> Option<&mut ReplicaView> {
        let id = self.keys.get(&key)?;
        self.replicas.get_mut(id)
    }

    /// All replicas.
    pub fn replicas(&self) -> impl Iterator<Item = &ReplicaView> {
        self.replicas.values()
    }

    /// What is believed of the engines of a service.
    pub fn engine_times(
        &self,
        service: &str,
    ) -> EngineTimes {
        self.engines.times(service)
    }
}
