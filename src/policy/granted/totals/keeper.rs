use {
    crate::fleet::AccountId,
    crate::policy::{Incarnation, KeptAccount, Moment, ReportEntry, TotalEntry},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// An account without work for this many times the grace is forgotten.
const FORGET_AFTER_GRACES: u32 = 200;

/// The accounts whose fleet totals this router sums.
///
/// Totals are advice: nothing waits for a keeper, and a new one rebuilds from
/// the next reports.
#[derive(Debug, Clone)]
pub struct Keeper {
    accounts: HashMap<AccountId, KeptAccount>,
    idle_grace: Duration,
    debt_ceiling: f64, // service units per share
}

impl Keeper {
    /// A keeper that has heard nothing yet.
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

    /// How many accounts are kept.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no account is kept.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// The totals, in no order.
    pub fn totals(&self) -> impl Iterator<Item = (AccountId, f64)> {
        self.accounts.iter().map(|(id, kept)| (*id, kept.total()))
    }

    /// Takes in one entry of a report and gives the reply.
    ///
    /// `floor` is the least service per share among the accounts that wait at
    /// the reporting sidecar, `share` the account's own.
    #[allow(clippy::too_many_arguments)]
    pub fn report(
        &mut self,
        now: Moment,
        host: &Arc<str>,
        incarnation: Incarnation,
        sequence: u64,
        floor: Option<f64>,
        share: f64,
        entry: &ReportEntry,
    ) -> TotalEntry {
        let kept = self.accounts.entry(entry.account).or_default();
        let returns = entry.waiting
            && kept
                .was_idle(now, self.idle_grace)
                .unwrap_or(entry.returning);
        let mut reply = kept.report(now, host, incarnation, sequence, entry);
        if let (true, Some(floor)) = (returns, floor) {
            kept.clamp(floor * share, (floor + self.debt_ceiling) * share);
            reply.total = kept.total();
        }
        reply
    }

    /// Forgets accounts that have had no work for long.
    pub fn forget_idle(
        &mut self,
        now: Moment,
    ) {
        let bound = self.idle_grace * FORGET_AFTER_GRACES;
        self.accounts
            .retain(|_, kept| kept.was_idle(now, bound) == Some(false));
    }
}
