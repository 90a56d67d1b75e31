use {
    crate::fleet::AccountId,
    serde::{Deserialize, Serialize},
};

/// What a sidecar tells an account's keeper. Cumulative, so that loss,
/// repetition and order of reports do not matter.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReportEntry {
    pub account: AccountId,
    pub own: f64,        // service units given here, this incarnation
    pub heard: f64,      // the last fleet total heard
    pub included: f64,   // of `own`, what that total includes
    pub waiting: bool,   // requests of the account wait for this sidecar
    pub returning: bool, // the account was idle here until just now
}

/// A keeper's reply about one account.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TotalEntry {
    pub account: AccountId,
    pub total: f64,    // service units given by the whole fleet
    pub included: f64, // the reader's own service in that total
}
