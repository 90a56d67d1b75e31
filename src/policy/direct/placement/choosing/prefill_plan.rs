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

/// Fewer cached tokens than this are not fetched but computed.
const MIN_FETCH_TOKENS: u32 = 128;

/// Duration of a fetch in addition to the transfer of its bytes.
const FETCH_SETUP_MS: f64 = 3.0;

/// Work of one replica before a prompt's first token: prefill and fetching.
pub struct PrefillPlan<'v> {
    pub view: &'v ReplicaView,
    pub source: Option<&'v ReplicaView>, // replica to fetch cached tokens from
    pub prefill_tokens: u32,             // tokens to prefill
    pub duplicate_tokens: u32,           // of these, cached at other replicas
    pub fetched_tokens: u32,             // tokens to fetch
    pub fetch_ms: f64,
}

impl PrefillPlan<'_> {
    /// Whether the replica itself caches all parts that the prompt shares with others.
    pub fn caches_shared_parts(
        &self,
        prompt: &PromptShape,
    ) -> bool {
        let unshared = prompt.parts.last().map_or(0, |part| part.tokens);
        prompt.parts.len() > 1 && self.source.is_none() && self.prefill_tokens <= unshared
    }
}

/// Uncached tokens of a prompt at each replica, and the replicas that cache the most of it.
pub struct CacheSources<'v> {
    uncached: Vec<u32>,                    // by replica index
    least: u32,                            // minimum of `uncached`
    best: Vec<usize>,                      // replicas with that minimum
    by_zone: HashMap<&'v str, Vec<usize>>, // the same, by availability zone
    draw: u64,                             // pseudo-random, equal for a request at any router
}

impl<'v> CacheSources<'v> {
    /// Looks up the prompt in the cache view of each replica.
    pub fn new(
        prompt: &PromptShape,
        usable: &[&'v ReplicaView],
    ) -> Self {
        let counts = usable.iter().map(|view| view.cache.uncached(prompt));
        let uncached: Vec<u32> = counts.collect();
        let least = uncached.iter().copied().min().unwrap_or(0);
        let all = 0..uncached.len();
        let best: Vec<usize> = all.filter(|index| uncached[*index] == least).collect();
        let mut by_zone: HashMap<&str, Vec<usize>> = HashMap::new();
        for index in &best {
            let zone = &*usable[*index].entry.zone;
            by_zone.entry(zone).or_default().push(*index);
        }
        let last_part = prompt.parts.last().map_or(0, |part| part.id);
        Self {
            uncached,
            least,
            best,
            by_zone,
            draw: mix_hashes(last_part, 0),
        }
    }

    /// The replica to fetch from: one of those that cache the most, in the same zone if
    /// possible. None if the replica itself is one of them. The choice varies by request,
    /// since a replica serves one fetch after another.
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

/// The work for a prompt at a replica, with a fetch from another one where that saves enough
/// tokens.
pub fn prefill_plan<'v>(
    index: usize,
    engine: EngineSpec,
    usable: &[&'v ReplicaView],
    sources: &CacheSources<'_>,
) -> PrefillPlan<'v> {
    let uncached = sources.uncached[index];
    let source = sources.source(index, usable[index]);
    let fetchable = uncached - sources.least;
    let without_fetch = PrefillPlan {
        view: usable[index],
        source: None,
        prefill_tokens: uncached,
        duplicate_tokens: fetchable,
        fetched_tokens: 0,
        fetch_ms: 0.0,
    };
    match fetch_ms(engine, fetchable).filter(|_| fetchable >= MIN_FETCH_TOKENS) {
        None => without_fetch,
        Some(fetch_ms) => PrefillPlan {
            source: source.map(|other| usable[other]),
            prefill_tokens: sources.least,
            duplicate_tokens: 0,
            fetched_tokens: fetchable,
            fetch_ms,
            ..without_fetch
        },
    }
}

/// Time to fetch some tokens, in milliseconds; none if engines do not move cache entries or
/// their transfer figures are unknown.
fn fetch_ms(
    engine: EngineSpec,
    tokens: u32,
) -> Option<f64> {
    let can_fetch =
        engine.can_transfer_kv && engine.kv_bytes_per_token > 0.0 && engine.link_mbps > 0.0;
    let bits = f64::from(tokens) * engine.kv_bytes_per_token * 8.0;
    can_fetch.then(|| FETCH_SETUP_MS + bits / engine.link_mbps / 1000.0)
}
