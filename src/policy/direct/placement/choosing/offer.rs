use {
    crate::{
        policy::{
            mix_hashes,
            placement::{PromptShape, ReplicaView},
        },
        routing::EngineSpec,
    },
    std::collections::HashMap,
};

/// Fewer tokens than this are read rather than fetched.
const LEAST_FETCH: u32 = 128;

/// Milliseconds that a fetch takes beside its bytes.
const FETCH_SETUP_MS: f64 = 3.0;

/// What one replica would have to do for a prompt.
pub struct Offer<'v> {
    pub view: &'v ReplicaView,
    pub source: Option<&'v ReplicaView>, // to fetch from
    pub reading: u32,                    // tokens it would read
    pub again: u32,                      // of these, kept elsewhere
    pub fetched: u32,                    // tokens it would fetch
    pub fetch_ms: f64,
}

impl Offer<'_> {
    /// Whether the replica itself keeps all that the prompt shares with others.
    pub fn keeps_shared(
        &self,
        prompt: &PromptShape,
    ) -> bool {
        let own = prompt.parts.last().map_or(0, |part| part.tokens);
        prompt.parts.len() > 1 && self.source.is_none() && self.reading <= own
    }
}

/// What each replica lacks of a prompt, and who keeps the most of it.
pub struct Sources<'v> {
    uncached: Vec<u32>,                    // by replica
    least: u32,                            // that a replica lacks
    best: Vec<usize>,                      // replicas that lack no more
    by_zone: HashMap<&'v str, Vec<usize>>, // the same, by availability zone
    draw: u64,                             // the same for one request, whoever decides
}

impl<'v> Sources<'v> {
    /// Looks once at each replica.
    pub fn new(
        prompt: &PromptShape,
        usable: &[&'v ReplicaView],
    ) -> Self {
        let lacks = usable.iter().map(|view| view.cache.uncached(prompt));
        let uncached: Vec<u32> = lacks.collect();
        let least = uncached.iter().copied().min().unwrap_or(0);
        let all = 0..uncached.len();
        let best: Vec<usize> = all.filter(|index| uncached[*index] == least).collect();
        let mut by_zone: HashMap<&str, Vec<usize>> = HashMap::new();
        for index in &best {
            let zone = &*usable[*index].entry.zone;
            by_zone.entry(zone).or_default().push(*index);
        }
        let own = prompt.parts.last().map_or(0, |part| part.id);
        Self {
            uncached,
            least,
            best,
            by_zone,
            draw: mix_hashes(own, 0),
        }
    }

    /// The replica to fetch from for one that lacks more than others: one of
    /// those that keep the most, in its own zone if there is one. Which of
    /// several is drawn by request, since a replica hands memory out one after
    /// another.
    fn source(
        &self,
        index: usize,
        view: &ReplicaView,
    ) -> Option<usize> {
        if self.uncached[index] == self.least {
            return None;
        }
        let list = self.by_zone.get(&*view.entry.zone).unwrap_or(&self.best);
        let drawn = self.draw.checked_rem(list.len() as u64)?;
        list.get(drawn as usize).copied()
    }
}

/// What a prompt costs at a replica, with what another may hand it.
pub fn offer<'v>(
    index: usize,
    engine: EngineSpec,
    usable: &[&'v ReplicaView],
    sources: &Sources<'_>,
) -> Offer<'v> {
    let uncached = sources.uncached[index];
    let source = sources.source(index, usable[index]);
    let gained = uncached - sources.least;
    let alone = Offer {
        view: usable[index],
        source: None,
        reading: uncached,
        again: gained,
        fetched: 0,
        fetch_ms: 0.0,
    };
    match fetch_time(engine, gained).filter(|_| gained >= LEAST_FETCH) {
        None => alone,
        Some(fetch_ms) => Offer {
            source: source.map(|other| usable[other]),
            reading: sources.least,
            again: 0,
            fetched: gained,
            fetch_ms,
            ..alone
        },
    }
}

/// How long fetching some tokens takes, in milliseconds; none where engines
/// cannot.
fn fetch_time(
    engine: EngineSpec,
    tokens: u32,
) -> Option<f64> {
    let told = engine.can_transfer_kv && engine.kv_bytes_per_token > 0.0 && engine.link_mbps > 0.0;
    let bits = f64::from(tokens) * engine.kv_bytes_per_token * 8.0;
    told.then(|| FETCH_SETUP_MS + bits / engine.link_mbps / 1000.0)
}
