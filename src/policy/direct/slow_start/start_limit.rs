use std::time::Duration;

/// Routers that may take themselves for the one that sends to a replica, at the same
/// moment: the fleet in two parts, or one that has just taken over from another.
const OWNERS: f64 = 2.0;

/// What the operator's bound leaves beyond what a replica says that it bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartBounds {
    pub overage: f64,   // factor
    pub tolerance: f64, // requests
}

/// What one router sends to a replica of a service that has just started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartLimit {
    pub per_second: u32, // by one router
    pub lasts: Duration, // how long replicas are slow after a start
}

impl StartBounds {
    /// The limit where replicas bear `per_second` requests; none where that is 0, which
    /// is no bound. Half of what all may send: two that send at once keep the bound.
    pub fn limit(
        &self,
        per_second: f64,
        lasts: Duration,
    ) -> Option<StartLimit> {
        if per_second <= 0.0 {
            return None;
        }
        let all = per_second * self.overage + self.tolerance;
        let each = (all / OWNERS)
            .floor()
            .max(if all >= 1.0 { 1.0 } else { 0.0 });
        Some(StartLimit {
            per_second: each.min(f64::from(u32::MAX)) as u32,
            lasts,
        })
    }
}
