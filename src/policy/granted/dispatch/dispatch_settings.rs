use {
    crate::policy::{OrderMode, TotalsMode},
    std::time::Duration,
};

/// Settings of a sidecar's dispatcher.
#[derive(Debug, Clone, Copy)]
pub struct DispatchSettings {
    pub slots: u32,           // requests the upstream runs at once
    pub max_ready: u32,       // granted requests held ready at most
    pub order: OrderMode,     // fair, or a baseline
    pub totals: TotalsMode,   // fleet, or a baseline
    pub slack: f64,           // difference that is ignored, in service units per share
    pub debt_ceiling: f64,    // service units per share
    pub grant_ttl: Duration,  // lifetime of an unused grant
    pub idle_grace: Duration, // idle time after which an account has no credit any more
}
