use {
    super::{
        CacheNote, Choice, Load, PlacementSettings, PromptShape, RefusalReason, ReplicaReport,
        ReplicaView, Work, WorkNumber,
    },
    crate::{
        catalog::{UpstreamEntry, UpstreamState},
        policy::Moment,
        routing::EngineFacts,
    },
    std::{
        collections::{BTreeMap, HashMap},
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
        time::Duration,
    },
};

/// A replica that was full is left alone this long.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// Added to the expected time of a replica that a peer lets rest.
const AVOIDED_PENALTY: f64 = 200.0;

/// Milliseconds by which a prompt's home goes before its neighbours, so that
/// routers that know nothing yet agree on one.
const HOME_LEAD: f64 = 40.0;

/// When to come back where no replica is known.
const NO_REPLICA_RETRY: Duration = Duration::from_millis(500);

/// The shortest and longest time to come back after.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// Fewer tokens than this are read rather than fetched.
const LEAST_FETCH: u32 = 128;

/// Milliseconds that a fetch takes beside its bytes.
const FETCH_SETUP_MS: f64 = 3.0;

/// What a replica has in front is known as of a report ago, and all routers see
/// the same least one: choices are scattered by this part of that time.
const SPREAD: f64 = 0.5;

/// More requests than slots that a plain replica is sent, as a factor.
const PLAIN_QUEUE: f64 = 2.0;

/// A request that looks for a replica.
#[derive(Debug)]
pub struct PlacementRequest<'r> {
    pub service: &'r str,
    pub zone: &'r str, // of this router
    pub engine: Option<EngineFacts>,
    pub prompt: Option<&'r PromptShape>,
    pub aim: Duration,              // shortest among the service's routes
    pub over_for: Option<Duration>, // until its account is within its share again
    pub tried: &'r [Arc<str>],      // replicas it was sent to before
}

/// The replicas, what is at them, and who gets the next request.
#[derive(Debug)]
pub struct ReplicaBoard {
    settings: PlacementSettings,
    replicas: BTreeMap<Arc<str>, ReplicaView>,
    keys: HashMap<u32, Arc<str>>, // ids by key
    works: HashMap<WorkNumber, Work>,
    next_work: WorkNumber,
    notes: Vec<CacheNote>, // parts that were sent to replicas anew
    report_pace: Duration, // between two reports of a peer
}

/// Notes that are kept for peers at most.
const MAX_NOTES: usize = 400;

/// A short name of a replica for messages between routers.
pub fn replica_key(id: &str) -> u32 {
    hash_of(&id) as u32
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

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
        }
    }

    /// Puts changed bounds in force.
    pub fn set_settings(
        &mut self,
        settings: PlacementSettings,
    ) {
        self.settings = settings;
    }

    /// How far apart the reports of each peer are.
    pub fn set_report_pace(
        &mut self,
        pace: Duration,
    ) {
        self.report_pace = pace;
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

    /// All replicas, to be changed.
    pub fn replicas_mut(&mut self) -> impl Iterator<Item = &mut ReplicaView> {
        self.replicas.values_mut()
    }

    /// What a peer has at some replicas; what it said of others stays until it
    /// is old.
    pub fn hear(
        &mut self,
        now: Moment,
        peer: u32,
        told: &HashMap<u32, ReplicaReport>,
    ) {
        for (key, report) in told {
            if let Some(view) = self.by_key(*key) {
                view.hear(now, peer, report);
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

    /// Decides where a request goes.
    pub fn choose(
        &self,
        now: Moment,
        request: &PlacementRequest,
    ) -> Choice {
        let usable = self.usable(now, request);
        if usable.is_empty() {
            return Choice::Refuse {
                reason: RefusalReason::NoReplica,
                retry_after: NO_REPLICA_RETRY,
            };
        }
        match (request.prompt, request.engine) {
            (Some(prompt), Some(engine)) => {
                self.choose_engine(now, request, prompt, engine, &usable)
            }
            _ => self.choose_plain(now, request, &usable),
        }
    }

    /// Ready replicas that were not tried. Those that rest are left out, unless
    /// that would leave less than half.
    fn usable(
        &self,
        now: Moment,
        request: &PlacementRequest,
    ) -> Vec<&ReplicaView> {
        let untried: Vec<&ReplicaView> = self
            .replicas
            .values()
            .filter(|view| &*view.entry.service == request.service)
            .filter(|view| view.entry.state == UpstreamState::Ready)
            .filter(|view| !request.tried.contains(&view.entry.id))
            .collect();
        let awake: Vec<&ReplicaView> = untried
            .iter()
            .filter(|view| !view.health.rests(now))
            .copied()
            .collect();
        if awake.len() * 2 >= untried.len() {
            awake
        } else {
            untried
        }
    }

    fn choose_engine(
        &self,
        now: Moment,
        request: &PlacementRequest,
        prompt: &PromptShape,
        engine: EngineFacts,
        usable: &[&ReplicaView],
    ) -> Choice {
        let settings = &self.settings;
        let aim_ms = request.aim.as_secs_f64() * 1000.0;
        let share = if request.over_for.is_some() {
            settings.over_share
        } else {
            1.0
        };
        let bound_ms = aim_ms * settings.aim_share * share;
        let homes = homes(prompt, usable);
        let sources = Sources::new(prompt, usable);
        let mut best: Option<(f64, Offer)> = None;
        let mut soonest = f64::MAX;
        for (index, (view, home)) in usable.iter().zip(homes).enumerate() {
            let load = view.load(now, settings.peer_age);
            let offer = offer(index, engine, usable, &sources);
            let speed = view.speed.tokens_per_ms();
            let front_ms = f64::from(load.reading) / speed;
            let own_ms = f64::from(offer.reading) / speed + offer.fetch_ms;
            let weighed = front_ms + own_ms * settings.own_weight;
            let memory = f64::from(load.memory) + f64::from(offer.reading + prompt.output_tokens);
            let fits = load.running < view.entry.slots
                && (memory <= engine.memory_tokens as f64 * settings.memory_share
                    || load.running == 0);
            soonest = soonest.min((weighed - bound_ms).max(0.0));
            if !fits || (weighed > bound_ms && load.reading > 0) {
                continue;
            }
            let again_ms = f64::from(offer.again) / speed * settings.reread_weight;
            let avoided = view.is_avoided(now, settings.peer_age);
            let mut score = front_ms + own_ms + again_ms;
            score += if avoided { AVOIDED_PENALTY } else { 0.0 };
            score += self.zone_ms(request, view);
            score += self.report_pace.as_secs_f64() * 1000.0 * SPREAD * scatter(prompt, view);
            score -= HOME_LEAD / f64::from(home + 1);
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                let expected_ms = front_ms + own_ms;
                best = Some((
                    score,
                    Offer {
                        expected_ms,
                        ..offer
                    },
                ));
            }
        }
        match best {
            Some((_, offer)) => Choice::Send {
                replica: offer.view.entry.id.clone(),
                reading: offer.reading,
                fetch_from: offer.source.map(|view| view.entry.id.clone()),
                expected: Duration::from_secs_f64(offer.expected_ms / 1000.0),
            },
            None => self.refuse(request, soonest),
        }
    }

    fn choose_plain(
        &self,
        now: Moment,
        request: &PlacementRequest,
        usable: &[&ReplicaView],
    ) -> Choice {
        let mut best: Option<(f64, &ReplicaView)> = None;
        for view in usable {
            let running = f64::from(view.load(now, self.settings.peer_age).running);
            let slots = f64::from(view.entry.slots.max(1));
            if running >= slots * (1.0 + PLAIN_QUEUE) {
                continue;
            }
            let mut score = view.service_ms * ((running + 1.0) / slots).max(1.0);
            score += running / slots + self.zone_ms(request, view);
            score += AVOIDED_PENALTY * view.health.failure_rate();
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, view));
            }
        }
        match best {
            Some((_, view)) => Choice::Send {
                replica: view.entry.id.clone(),
                reading: 0,
                fetch_from: None,
                expected: Duration::from_secs_f64(view.service_ms / 1000.0),
            },
            None => self.refuse(request, request.aim.as_secs_f64() * 1000.0),
        }
    }

    fn zone_ms(
        &self,
        request: &PlacementRequest,
        view: &ReplicaView,
    ) -> f64 {
        if &*view.entry.zone == request.zone {
            0.0
        } else {
            self.settings.zone_penalty.as_secs_f64() * 1000.0
        }
    }

    fn refuse(
        &self,
        request: &PlacementRequest,
        wait_ms: f64,
    ) -> Choice {
        let room_in = Duration::from_secs_f64(wait_ms / 1000.0);
        let (reason, wait) = match request.over_for {
            Some(over_for) => (RefusalReason::OverShare, over_for.max(room_in)),
            None => (RefusalReason::NoRoom, room_in),
        };
        Choice::Refuse {
            reason,
            retry_after: wait.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1),
        }
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
        let age = self.settings.peer_age;
        let view = self.replicas.get_mut(replica)?;
        let mut load = Load {
            running: 1,
            ..Load::default()
        };
        if let (Some(prompt), Some(engine)) = (prompt, engine) {
            load.reading = reading;
            load.memory = load.reading + prompt.output_tokens;
            let memory = view.load(now, age).memory + load.memory;
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
            in_front: view.load(now, age).reading,
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

    /// Something came from a replica.
    pub fn heard(
        &mut self,
        now: Moment,
        replica: &str,
    ) {
        if let Some(view) = self.replicas.get_mut(replica) {
            view.heard = now;
        }
    }

    /// Whether something came from a replica within `age`.
    pub fn is_alive(
        &self,
        now: Moment,
        replica: &str,
        age: Duration,
    ) -> bool {
        let view = self.replicas.get(replica);
        view.is_some_and(|view| now.saturating_sub(view.heard) <= age)
    }

    /// A request ended well at a replica.
    pub fn succeeded(
        &mut self,
        replica: &str,
    ) {
        if let Some(view) = self.replicas.get_mut(replica) {
            view.health.success();
        }
    }

    /// A request failed at a replica.
    pub fn failed(
        &mut self,
        now: Moment,
        replica: &str,
    ) {
        let usual = self.usual_failure_rate(replica);
        if let Some(view) = self.replicas.get_mut(replica) {
            view.health.failure(now, usual);
        }
    }

    /// A replica could not be reached, or was another one.
    pub fn unreachable(
        &mut self,
        now: Moment,
        replica: &str,
    ) {
        if let Some(view) = self.replicas.get_mut(replica) {
            view.health.unreachable(now);
        }
    }

    /// A replica said that it has no room.
    pub fn full(
        &mut self,
        now: Moment,
        replica: &str,
    ) {
        if let Some(view) = self.replicas.get_mut(replica) {
            view.health.full(now, FULL_PAUSE);
        }
    }

    /// The median failure rate of a replica's fellows.
    fn usual_failure_rate(
        &self,
        replica: &str,
    ) -> f64 {
        let Some(view) = self.replicas.get(replica) else {
            return 0.0;
        };
        let service = &view.entry.service;
        let mut rates: Vec<f64> = self
            .replicas
            .values()
            .filter(|other| other.entry.service == *service && &*other.entry.id != replica)
            .map(|other| other.health.failure_rate())
            .collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or(0.0)
    }
}

/// What one replica would have to do for a prompt.
struct Offer<'v> {
    view: &'v ReplicaView,
    source: Option<&'v ReplicaView>, // to fetch from
    reading: u32,                    // tokens it would read
    again: u32,                      // of these, kept elsewhere
    fetch_ms: f64,
    expected_ms: f64, // until the first token
}

/// What each replica lacks of a prompt, and who keeps the most of it.
struct Sources {
    uncached: Vec<u32>, // by replica
    best: Vec<usize>,   // replicas that lack least
    next: Vec<usize>,   // those after them, for the best itself
    draw: u64,          // the same for one request, whoever decides
}

impl Sources {
    fn new(
        prompt: &PromptShape,
        usable: &[&ReplicaView],
    ) -> Self {
        let lacks = usable.iter().map(|view| view.cache.uncached(prompt));
        let uncached: Vec<u32> = lacks.collect();
        let with = |least: Option<&u32>| -> Vec<usize> {
            let all = 0..uncached.len();
            all.filter(|index| Some(&uncached[*index]) == least)
                .collect()
        };
        let least = uncached.iter().min();
        let after = uncached.iter().filter(|lack| Some(*lack) > least).min();
        let own = prompt.parts.last().map_or(0, |part| part.id);
        Self {
            best: with(least),
            next: with(after),
            draw: hash_of(&own),
            uncached,
        }
    }

    /// The replica to fetch from for another: one of those that keep the most,
    /// in its own zone if there is one. Which of several is drawn by request,
    /// since a replica hands memory out one after another.
    fn other(
        &self,
        index: usize,
        usable: &[&ReplicaView],
    ) -> Option<usize> {
        let others = |list: &[usize]| -> Vec<usize> {
            list.iter()
                .copied()
                .filter(|other| *other != index)
                .collect()
        };
        let best = others(&self.best);
        let list = if best.is_empty() {
            others(&self.next)
        } else {
            best
        };
        let zone = &usable[index].entry.zone;
        let near = |other: &&usize| usable[**other].entry.zone == *zone;
        let near: Vec<usize> = list.iter().filter(near).copied().collect();
        let list = if near.is_empty() { list } else { near };
        let drawn = self.draw.checked_rem(list.len() as u64)?;
        list.get(drawn as usize).copied()
    }
}

/// What a prompt costs at a replica, with what another may hand it.
fn offer<'v>(
    index: usize,
    engine: EngineFacts,
    usable: &[&'v ReplicaView],
    sources: &Sources,
) -> Offer<'v> {
    let uncached = sources.uncached[index];
    let source = sources.other(index, usable);
    let least = source.map_or(uncached, |other| sources.uncached[other]);
    let gained = uncached.saturating_sub(least);
    let alone = Offer {
        view: usable[index],
        source: None,
        reading: uncached,
        again: gained,
        fetch_ms: 0.0,
        expected_ms: 0.0,
    };
    match fetch_time(engine, gained).filter(|_| gained >= LEAST_FETCH) {
        None => alone,
        Some(fetch_ms) => Offer {
            source: source.map(|other| usable[other]),
            reading: least,
            again: 0,
            fetch_ms,
            ..alone
        },
    }
}

/// How long fetching some tokens takes, in milliseconds; none where engines
/// cannot.
fn fetch_time(
    engine: EngineFacts,
    tokens: u32,
) -> Option<f64> {
    let told = engine.moves && engine.token_bytes > 0.0 && engine.link_mbps > 0.0;
    let bits = f64::from(tokens) * engine.token_bytes * 8.0;
    told.then(|| FETCH_SETUP_MS + bits / engine.link_mbps / 1000.0)
}

/// A number from 0 to 1 that looks drawn, and is the same for one request at one
/// replica.
fn scatter(
    prompt: &PromptShape,
    view: &ReplicaView,
) -> f64 {
    let own = prompt.parts.last().map_or(0, |part| part.id);
    hash_of(&(own, &*view.entry.id)) as f64 / u64::MAX as f64
}

/// The rank of each replica for a prompt: 0 is its home. Every router derives
/// the same, and a replica that comes or goes moves only its own prompts.
fn homes(
    prompt: &PromptShape,
    usable: &[&ReplicaView],
) -> Vec<u32> {
    let home = prompt.home_part().unwrap_or(0);
    let weights: Vec<u64> = usable
        .iter()
        .map(|view| hash_of(&(home, &*view.entry.id)))
        .collect();
    let rank = |weight: &u64| weights.iter().filter(|other| *other > weight).count() as u32;
    weights.iter().map(rank).collect()
}
