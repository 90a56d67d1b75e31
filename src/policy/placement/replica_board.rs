use {
    super::{
        CacheNote, Load, PlacementSettings, PromptShape, ReplicaReport, ReplicaView, Work,
        WorkNumber, replica_key,
    },
    crate::{catalog::UpstreamEntry, policy::Moment, routing::EngineFacts},
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
                    let view = ReplicaView::new(entry.clone(), self.settings.reading_speed);
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
        reading: u32,
        prompt: Option<&PromptShape>,
        engine: Option<EngineFacts>,
    ) -> Option<WorkNumber> {
        let age = self.belief_age();
        let view = self.replicas.get_mut(replica)?;
        let there = view.load(now, age);
        let mut load = Load {
            running: 1,
            ..Load::default()
        };
        if let (Some(prompt), Some(engine)) = (prompt, engine) {
            load.reading = reading;
            load.memory = load.reading + prompt.output_tokens;
            let memory = there.memory + load.memory;
            view.cache
                .set_room(engine.memory_tokens.saturating_sub(u64::from(memory)));
            view.placed += u64::from(load.memory);
            view.cache.place(u64::from(load.memory));
            for part in &prompt.parts {
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
            in_front: there.reading + load.reading,
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

    /// The first token of a request came.
    pub fn first_token(
        &mut self,
        now: Moment,
        number: WorkNumber,
    ) {
        let Some(work) = self.works.get_mut(&number) else {
            return;
        };
        let reading = std::mem::take(&mut work.load.reading);
        if let Some(view) = self.replicas.get_mut(&work.replica) {
            view.own.reading = view.own.reading.saturating_sub(reading);
            view.speed
                .learn(work.in_front, now.saturating_sub(work.sent));
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
