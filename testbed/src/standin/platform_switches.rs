use std::time::Duration;

/// How the platform's stand-in misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformSwitches {
    pub down: bool,                    // answers 503 at once
    pub stale_at: Option<u64>,         // serves nothing newer than this revision
    pub slow: Duration,                // waits before each answer
    pub calls_per_second: Option<u32>, // over it: 429
}
