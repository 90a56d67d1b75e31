use {
    super::{
        CacheNote, EngineModels, EngineReport, EngineTimes, FirstToken, Load, PlacementSettings,
        ReplicaReport, ReplicaView, SentPrompt, UsualReadings, Work, WorkNumber, replica_key,
    },
    crate::{catalog::UpstreamEntry, policy::Moment},
    std::{
        collections::{BTreeMap, HashMap},
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
    works: HashMap<WorkNumber, Work>,
    engines: EngineModels,
    pub(super) usual: UsualReadings,
    next_work: WorkNumber,
    notes: Vec<CacheNote>,            // parts that were sent to replicas anew
    pub(super) report_pace: Duration, // between two reports of a peer
    pub(super) routers: usize,        // that choose from the same reports
}

/// Reports of a peer that may be lost before the last one is no longer believed.
const MISSED_REPORTS: u32 = 3;

/// Notes that are kept for peers at most.
const MAX_NOTES: usize = 400;

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
            next_work: 1,
            notes: Vec::new(),
            report_pace: Duration::ZERO,
            routers: 1,
        }
    }

    /// Puts changed bounds in force.
    pub fn set_settings(
        &mut self,
        settings: PlacementSettings,
    ) {
        self.settings = settings;
    }

    /// How far apart the reports of each peer are, and how many routers choose
    /// by them.
    pub fn set_reports(
        &mut self,
        pace: Duration,
        routers: usize,
    ) {
        self.report_pace = pace;
        self.routers = routers.max(1);
    }

    /// How long a peer's report is believed: where there are so many routers that
    /// each is told seldom, until some reports should have come.
    pub fn belief_age(&self) -> Duration {
        self.settings
            .peer_age
            .max(self.report_pace * MISSED_REPORTS)
    }

    /// Takes in the newest list. Replicas that it lacks are forgotten.
    pub fn set_entries(
        &mut self,
        entries: Vec<Arc<UpstreamEntry>>,
    ) {
        let listed: HashMap<&str, &Arc<UpstreamEntry>> =
            entries.iter().map(|entry| (&*entry.id, entry)).collect();
        self.replicas.retain(|id, _| listed.contains_key(&**id));
        for entry in &entries {
            match self.replicas.get_mut(&entry.id) {
                Some(view) => view.entry = entry.clone(),
                None => {
                    let view = ReplicaView::new(entry.clone());
                    self.replicas.insert(entry.id.clone(), view);
                }
            }
        }
        let keys = self.replicas.keys();
        self.keys = keys.map(|id| (replica_key(id), id.clone())).collect();
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

    /// What a peer has at some replicas; what it said of others stays until it
    /// is old.
    pub fn hear(
        &mut self,
        now: Moment,
        peer: u32,
        told: &[ReplicaReport],
    ) {
        let age = self.belief_age();
        for report in told {
            if let Some(view) = self.by_key(report.replica) {
                view.hear(now, age, peer, report);
            }
        }
    }

    /// What this router has at each replica, for its peers.
    pub fn reports(
        &self,
        now: Moment,
    ) -> Vec<ReplicaReport> {
        let views = self.replicas.iter().map(|(id, view)| ReplicaReport {
            replica: replica_key(id),
            load: view.own,
            placed: view.placed,
            rests: view.health.rests(now),
        });
        views
            .filter(|report| report.rests || report.placed > 0 || report.load != Load::default())
            .collect()
    }

    /// A request goes to a replica.
    pub fn start(
        &mut self,
        now: Moment,
        replica: &Arc<str>,
        prompt: Option<SentPrompt>,
    ) -> Option<WorkNumber> {
        let age = self.belief_age();
        let view = self.replicas.get_mut(replica)?;
        let there = view.load(now, age);
        let mut load = Load {
            running: 1,
            ..Load::default()
        };
        if let Some(prompt) = prompt {
            let service = &view.entry.service;
            self.usual.note(now, service, prompt.aim, prompt.reading);
            load.reading = prompt.reading;
            load.memory = prompt.reading + prompt.shape.output_tokens;
            let room = prompt.engine.memory_tokens;
            let memory = there.memory + load.memory;
            view.cache.set_room(room.saturating_sub(u64::from(memory)));
            view.placed += u64::from(load.memory);
            view.cache.place(u64::from(load.memory));
            for part in &prompt.shape.parts {
                view.cache.note(part.id);
                if self.notes.len() < MAX_NOTES {
                    self.notes.push(CacheNote {
                        replica: replica_key(replica),
                        part: part.id,
                    });
                }
            }
        }
        view.own += load;
        let work = Work {
            replica: replica.clone(),
            sent: now,
            load,
            reading: load.reading,
            front_ms: prompt.map_or(0.0, |prompt| prompt.front_ms),
        };
        let number = self.next_work;
        self.next_work += 1;
        self.works.insert(number, work);
        Some(number)
    }

    /// Parts that were sent to replicas since this was last asked.
    pub fn take_notes(&mut self) -> Vec<CacheNote> {
        std::mem::take(&mut self.notes)
    }

    /// The first token of a prompt came. Gives what is believed of the service's
    /// engines if that is news.
    pub fn first_token(
        &mut self,
        now: Moment,
        number: WorkNumber,
    ) -> Option<EngineTimes> {
        let work = self.works.get_mut(&number)?;
        let unread = std::mem::take(&mut work.load.reading);
        let view = self.replicas.get_mut(&work.replica)?;
        view.own.reading = view.own.reading.saturating_sub(unread);
        let seen = FirstToken {
            tokens: work.reading,
            front_ms: work.front_ms,
            took: now.saturating_sub(work.sent),
        };
        self.engines.learn(&view.entry.service, seen)
    }

    /// What is believed of the engines of a service.
    pub fn engine_times(
        &self,
        service: &str,
    ) -> EngineTimes {
        self.engines.times(service)
    }

    /// What this router has learnt of engines, for its peers.
    pub fn engine_reports(&self) -> Vec<EngineReport> {
        self.engines.reports()
    }

    /// A peer told what it has learnt of engines.
    pub fn hear_engines(
        &mut self,
        told: &[EngineReport],
    ) {
        for report in told {
            let mut services = self.replicas.values().map(|view| &view.entry.service);
            let named = services.find(|name| replica_key(name) == report.service);
            if let Some(service) = named {
                self.engines.hear(service, report);
            }
        }
    }

    /// A request is over at its replica, however it ended.
    pub fn finish(
        &mut self,
        number: WorkNumber,
    ) -> Option<Work> {
        let work = self.works.remove(&number)?;
        if let Some(view) = self.replicas.get_mut(&work.replica) {
            view.own.running = view.own.running.saturating_sub(work.load.running);
            view.own.reading = view.own.reading.saturating_sub(work.load.reading);
            view.own.memory = view.own.memory.saturating_sub(work.load.memory);
        }
        Some(work)
    }
}
