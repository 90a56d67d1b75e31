use {
    crate::fleet::AccountId,
    serde::{Deserialize, Serialize},
};

/// What a sidecar reports on one account to the router that aggregates its total. The figures are
/// cumulative, so that loss, repetition and order of reports do not matter.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReportEntry {
    pub account: AccountId,
    pub own: f64,         // service units of this incarnation of the sidecar
    pub known_total: f64, // the last fleet total that the sidecar received
    pub included: f64,    // the part of `own` that this total contains
    pub waiting: bool,    // the account has work here
    pub was_idle: bool,   // the account was idle here until recently
}

/// The aggregating router's reply on one account.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TotalEntry {
    pub account: AccountId,
    pub total: f64,    // service units of the whole fleet
    pub included: f64, // the receiving sidecar's own service in that total
}
