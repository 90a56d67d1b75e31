use {
    super::fault::Fault,
    std::time::{Duration, Instant},
};

/// Time after the end of a fault during which its consequences are still excused.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// A fault, and when it was in effect.
#[derive(Debug, Clone, Copy)]
pub struct FaultSpan {
    pub fault: Fault,
    pub began: Instant,
    pub ended: Instant,
}

impl FaultSpan {
    /// Whether the fault or its aftermath overlaps the time from `from` to `to`.
    pub fn affects(
        &self,
        from: Instant,
        to: Instant,
    ) -> bool {
        self.began <= to && self.ended + RECOVERY_TIME >= from
    }
}
