use std::time::Duration;

/// Routers that may consider themselves the only sender to a replica at the same moment: during a
/// partition of the fleet into two, or when one has just taken over from another.
const MAX_SENDERS: f64 = 2.0;

/// Margin that the settings allow above the rate that a service's configuration states for replicas
/// in slow start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartBounds {
    pub overage: f64,   // factor on that rate
    pub tolerance: f64, // additional requests a second
}

/// Limit on what one router sends to a replica that has just started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowStartLimit {
    pub per_second: u32,    // requests
    pub duration: Duration, // how long a replica's slow start takes
}

impl SlowStartBounds {
    /// The limit for a service whose replicas sustain `per_second` requests a second in slow
    /// start; `None` for 0, which stands for no limit. It is half of what all routers may send
    /// together, so that two routers that send at once stay within that.
    pub fn limit(
        &self,
        per_second: f64,
        duration: Duration,
    ) -> Option<SlowStartLimit> {
        if per_second <= 0.0 {
            return None;
        }
        let total = per_second * self.overage + self.tolerance;
        let per_router = (total / MAX_SENDERS)
            .floor()
            .max(if total >= 1.0 { 1.0 } else { 0.0 });
        Some(SlowStartLimit {
            per_second: per_router.min(f64::from(u32::MAX)) as u32,
            duration,
        })
    }
}
