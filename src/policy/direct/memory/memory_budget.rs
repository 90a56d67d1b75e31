/// How many bytes may be held for one holder, and for all of a kind together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBudget {
    pub one: u64,
    pub all: u64,
}

impl MemoryBudget {
    /// Whether a holder may hold `own` bytes while the others hold `others`.
    ///
    /// No holder has more than is left free: many slow ones get less each, and whoever comes
    /// next still finds room. One that is alone may have all that one may have.
    pub fn permits(
        self,
        own: u64,
        others: u64,
    ) -> bool {
        let free = self.all.saturating_sub(own.saturating_add(others));
        own <= self.one && (others == 0 || own <= free)
    }
}
