//! The size to design for, from letter 1, and what follows from it by counting.

/// Routers, the nodes before the replicas.
pub const ROUTERS: f64 = 360.0;
/// Sidecars, one beside each replica.
pub const SIDECARS: f64 = 600.0;
/// Client accounts.
pub const ACCOUNTS: f64 = 40_000.0;
/// Client accounts backlogged at any time.
pub const BACKLOGGED: f64 = 4_000.0;
/// Requests a second at the peak.
pub const REQUESTS: f64 = 2_500.0;
/// Tokens a second at the peak.
pub const TOKENS: f64 = 920_000.0;
/// Hosts restarted or replaced in a day.
pub const RESTARTS_A_DAY: f64 = 260.0;
/// Availability zones.
pub const ZONES: f64 = 10.0;
/// Changes of configuration in a day.
pub const CHANGES_A_DAY: f64 = 410.0;

/// The bounds for control: percent of a core, MB, B/s.
pub const CPU_BOUND: f64 = 2.1;
/// See [`CPU_BOUND`].
pub const MEMORY_BOUND: f64 = 128.0;
/// See [`CPU_BOUND`].
pub const BYTES_BOUND: f64 = 8_000.0;
/// Seconds until a configuration must be in force everywhere.
pub const IN_FORCE_BOUND: f64 = 18.0;
/// Calls a second that the platform's service takes.
pub const PLATFORM_BOUND: f64 = 2_000.0;

/// Assumed: routers at which a backlogged account waits.
pub const ROUTERS_PER_ACCOUNT: f64 = 4.0;
/// A reach that an operator may set: sidecars a router begins with.
pub const REACH: f64 = 32.0;
/// The most accounts a sidecar reports in a second, by its own bound.
pub const REPORTED: f64 = 64.0;

/// Backlogged accounts that wait at one router.
pub fn accounts_at_router() -> f64 {
    BACKLOGGED * ROUTERS_PER_ACCOUNT / ROUTERS
}

/// Accounts whose totals one router keeps.
pub fn accounts_kept() -> f64 {
    ACCOUNTS / ROUTERS
}

/// Routers that reach one sidecar, with the reach above.
pub fn routers_in_reach() -> f64 {
    ROUTERS * REACH / SIDECARS
}
