//! Service that accounts got from the whole fleet: each sidecar's ledger, and the routers that sum
//! up the sidecars' reports. It is measured in service units: weighted tokens for model engines,
//! weighted seconds of a slot for plain services.

mod account_total;
mod ledger;
mod ledger_entry;
mod report;
mod totals_aggregator;
mod totals_mode;

pub use {
    account_total::AccountTotal,
    ledger::Ledger,
    ledger_entry::LedgerEntry,
    report::{ReportEntry, TotalEntry},
    totals_aggregator::TotalsAggregator,
    totals_mode::TotalsMode,
};
