use {
    super::KeptEvent,
    serde::{Deserialize, Serialize},
};

/// Events of one start of a replica, in the order of their numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptNews {
    pub epoch: u32,     // names the life of the memory that they are of
    pub from: u64,      // the first number that they may have
    pub next: u64,      // the first number of those to come
    pub has_gap: bool,  // some between are missing
    pub is_again: bool, // parts that are kept are told again, for routers that have just started
    pub events: Vec<KeptEvent>,
}

impl KeptNews {
    /// Whether numbers are missing where each event from `from` on should be there.
    pub fn lacks_numbers(&self) -> bool {
        let numbers = self.next.saturating_sub(self.from);
        (self.events.len() as u64) < numbers
    }

    /// The same, with those events only by which some parts were given up.
    pub fn given_up(
        &self,
        is_of: impl Fn(u64) -> bool,
    ) -> Self {
        let events = self.events.iter();
        let events = events.filter(|event| !event.is_kept && is_of(event.part));
        Self {
            events: events.copied().collect(),
            ..*self
        }
    }
}
