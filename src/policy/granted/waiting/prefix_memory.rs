use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

/// Prefixes that are remembered.
const MAX_PREFIXES: usize = 4096;

/// A hash of a model's name and the first bytes of a prompt.
pub type PrefixHash = u32;

/// Remembers which host last served a prompt prefix, as its engine may still have it cached.
#[derive(Debug, Clone, Default)]
pub struct PrefixMemory {
    served: HashMap<PrefixHash, Arc<str>>, // by which host
    order: VecDeque<PrefixHash>,           // oldest first
}

impl PrefixMemory {
    /// Records that a host serves a prefix now.
    pub fn served(
        &mut self,
        prefix: PrefixHash,
        host: &Arc<str>,
    ) {
        if self.served.insert(prefix, host.clone()).is_none() {
            self.order.push_back(prefix);
        }
        if self.order.len() > MAX_PREFIXES
            && let Some(oldest) = self.order.pop_front()
        {
            self.served.remove(&oldest);
        }
    }

    /// The host that served a prefix last.
    pub fn host(
        &self,
        prefix: PrefixHash,
    ) -> Option<&Arc<str>> {
        self.served.get(&prefix)
    }
}
