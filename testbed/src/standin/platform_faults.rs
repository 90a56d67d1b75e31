use std::time::Duration;

/// The faults of the stand-in platform service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformFaults {
    pub down: bool,                    // answers 503 at once, also to waiting watches
    pub stale_at: Option<u64>,         // serves nothing newer than this revision
    pub slow: Duration,                // delay before each answer
    pub calls_per_second: Option<u32>, // rate limit, above which it answers 429
}
