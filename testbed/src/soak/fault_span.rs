use {
    super::fault::Fault,
    std::time::{Duration, Instant},
};

/// After its end a fault still excuses what follows from it for this long.
const AFTERMATH: Duration = Duration::from_secs(3);

/// A fault, and when it was there.
#[derive(Debug, Clone, Copy)]
pub struct FaultSpan {
    pub fault: Fault,
    pub began: Instant,
    pub ended: Instant,
}

impl FaultSpan {
    /// Whether it, or what follows from it, touches a span of time.
    pub fn touches(
        &self,
        from: Instant,
        to: Instant,
    ) -> bool {
        self.began <= to && self.ended + AFTERMATH >= from
    }
}
