use {
    super::CacheEvent,
    serde::{Deserialize, Serialize},
};

/// Cache events of one incarnation of a replica, in the order of their numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventBatch {
    pub epoch: u32,        // changes when the replica resets its cache
    pub from: u64,         // first event number that the batch covers
    pub next: u64,         // first event number after the batch
    pub has_gap: bool,     // some events in between are missing
    pub is_snapshot: bool, // a snapshot of cached parts, for routers that have just started
    pub events: Vec<CacheEvent>,
}

impl CacheEventBatch {
    /// Whether events are missing in a batch that should hold each event from `from` on.
    pub fn has_missing_numbers(&self) -> bool {
        let numbers = self.next.saturating_sub(self.from);
        (self.events.len() as u64) < numbers
    }

    /// The batch, reduced to evictions of the selected parts.
    pub fn evictions(
        &self,
        is_selected: impl Fn(u64) -> bool,
    ) -> Self {
        let events = self.events.iter();
        let events = events.filter(|event| !event.is_cached && is_selected(event.part));
        Self {
            events: events.copied().collect(),
            ..*self
        }
    }
}
