use {
    super::{PromptShape, ReplicaView, replica_key::hash_of},
    crate::routing::EngineFacts,
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
    pub expected_ms: f64, // until the first token
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
pub struct Sources {
    uncached: Vec<u32>, // by replica
    best: Vec<usize>,   // replicas that lack least
    next: Vec<usize>,   // those after them, for the best itself
    draw: u64,          // the same for one request, whoever decides
}

impl Sources {
    /// Looks once at each replica.
    pub fn new(
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
pub fn offer<'v>(
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
        fetched: 0,
        fetch_ms: 0.0,
        expected_ms: 0.0,
    };
    match fetch_time(engine, gained).filter(|_| gained >= LEAST_FETCH) {
        None => alone,
        Some(fetch_ms) => Offer {
            source: source.map(|other| usable[other]),
            reading: least,
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
    engine: EngineFacts,
    tokens: u32,
) -> Option<f64> {
    let told = engine.moves && engine.token_bytes > 0.0 && engine.link_mbps > 0.0;
    let bits = f64::from(tokens) * engine.token_bytes * 8.0;
    told.then(|| FETCH_SETUP_MS + bits / engine.link_mbps / 1000.0)
}
