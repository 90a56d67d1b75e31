/// Limits in bytes on the memory held for one request or answer, and for all of them together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBudget {
    pub per_connection: u64,
    pub total: u64,
}

impl MemoryBudget {
    /// Whether one request or answer may hold `own` bytes while the others hold `others`.
    ///
    /// Besides its own limit, it may hold no more than is left free: many slow ones get less
    /// each, and the next one still finds free memory. A single one may use its whole limit.
    pub fn permits(
        self,
        own: u64,
        others: u64,
    ) -> bool {
        let free = self.total.saturating_sub(own.saturating_add(others));
        own <= self.per_connection && (others == 0 || own <= free)
    }
}
