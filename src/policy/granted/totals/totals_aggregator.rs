use {
    crate::fleet::AccountId,
    crate::policy::{AccountTotal, Incarnation, Moment, ReportEntry, TotalEntry},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// An account is dropped after this many times the idle grace without work.
const RETENTION_GRACES: u32 = 200;

/// The accounts for which this router sums the service that all sidecars report.
///
/// Totals are advisory: nothing waits for them, and another router that takes an account over
/// rebuilds its total from the next reports.
#[derive(Debug, Clone)]
pub struct TotalsAggregator {
    accounts: HashMap<AccountId, AccountTotal>,
    idle_grace: Duration,
    debt_ceiling: f64, // service units per share
}

impl TotalsAggregator {
    /// Creates an aggregator without accounts.
    pub fn new(
        idle_grace: Duration,
        debt_ceiling: f64,
    ) -> Self {
        Self {
            accounts: HashMap::new(),
            idle_grace,
            debt_ceiling,
        }
    }

    /// The number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// The total of each account, in no particular order.
    pub fn totals(&self) -> impl Iterator<Item = (AccountId, f64)> {
        self.accounts
            .iter()
            .map(|(id, account)| (*id, account.total()))
    }

    /// Applies one entry of a sidecar's report and returns the reply.
    ///
    /// `floor` is the least service per share among the accounts that wait at the reporting
    /// sidecar, `share` is that of the account.
    #[allow(clippy::too_many_arguments)]
    pub fn apply_report(
        &mut self,
        now: Moment,
        host: &Arc<str>,
        incarnation: Incarnation,
        sequence: u64,
        floor: Option<f64>,
        share: f64,
        entry: &ReportEntry,
    ) -> TotalEntry {
        let account = self.accounts.entry(entry.account).or_default();
        let returns = entry.waiting
            && account
                .was_idle(now, self.idle_grace)
                .unwrap_or(entry.was_idle);
        let mut reply = account.apply_report(now, host, incarnation, sequence, entry);
        if let (true, Some(floor)) = (returns, floor) {
            account.clamp(floor * share, (floor + self.debt_ceiling) * share);
            reply.total = account.total();
        }
        reply
    }

    /// Drops accounts that have had no work for long.
    pub fn remove_idle(
        &mut self,
        now: Moment,
    ) {
        let retention = self.idle_grace * RETENTION_GRACES;
        self.accounts
            .retain(|_, account| account.was_idle(now, retention) == Some(false));
    }
}
