use {
    crate::policy::{OrderMode, TotalsMode},
    std::time::Duration,
};

/// The bounds a sidecar dispatches by.
#[derive(Debug, Clone, Copy)]
pub struct DispatchSettings {
    pub slots: u32,           // requests the upstream runs at once
    pub ahead: u32,           // most granted requests held ready
    pub order: OrderMode,     // fair, or a baseline
    pub totals: TotalsMode,   // fleet, or a baseline
    pub slack: f64,           // service units per share that count as level
    pub debt_ceiling: f64,    // service units per share
    pub grant_ttl: Duration,  // life of an unused grant
    pub idle_grace: Duration, // idle time that ends stored credit
}
