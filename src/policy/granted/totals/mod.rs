//! Service that accounts got from the whole fleet: each sidecar's ledger, and the routers that sum
//! up the sidecars' reports.

mod keeper;
mod kept_account;
mod ledger;
mod ledger_entry;
mod report;
mod totals_mode;

pub use {
    keeper::Keeper,
    kept_account::KeptAccount,
    ledger::Ledger,
    ledger_entry::LedgerEntry,
    report::{ReportEntry, TotalEntry},
    totals_mode::TotalsMode,
};
