use {
    crate::fleet::AccountId,
    crate::policy::{LedgerEntry, Moment, ReportEntry, TotalEntry, TotalsMode},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// What a request is expected to cost before any has ended.
const UNSEEN_COST: f64 = 100.0;

/// A sidecar's account of service: what it gave itself, and the fleet totals
/// it heard.
#[derive(Debug, Clone)]
pub struct Ledger {
    entries: BTreeMap<AccountId, LedgerEntry>,
    shares: HashMap<AccountId, f64>,
    mode: TotalsMode,
    idle_grace: Duration,
    debt_ceiling: f64,                     // service units per share
    floor: Option<f64>,                    // least standing among the waiting accounts
    any_cost: crate::policy::CostEstimate, // over all accounts
    next_report: Option<AccountId>,        // where the next report goes on
}

impl Ledger {
    /// A ledger that has heard nothing yet.
    pub fn new(
        mode: TotalsMode,
        idle_grace: Duration,
        debt_ceiling: f64,
    ) -> Self {
        Self {
            entries: BTreeMap::new(),
            shares: HashMap::new(),
            mode,
            idle_grace,
            debt_ceiling,
            floor: None,
            any_cost: crate::policy::CostEstimate::default(),
            next_report: None,
        }
    }

    /// Takes over the shares of the configuration in force.
    pub fn set_shares(
        &mut self,
        shares: HashMap<AccountId, f64>,
    ) {
        self.shares = shares;
    }

    /// The share of an account; an unknown one counts as 1.
    pub fn share(
        &self,
        account: AccountId,
    ) -> f64 {
        self.shares.get(&account).copied().unwrap_or(1.0)
    }

    /// The least service per share among the waiting accounts, last known.
    pub fn floor(&self) -> Option<f64> {
        self.floor
    }

    /// Notes that an account has work here.
    pub fn wake(
        &mut self,
        account: AccountId,
        now: Moment,
    ) {
        let share = self.share(account);
        let (grace, mode, floor) = (self.idle_grace, self.mode, self.floor);
        self.entry(account, now)
            .wake(now, grace, mode, share, floor);
    }

    /// Notes that an account has no work here any more.
    pub fn rest(
        &mut self,
        account: AccountId,
        now: Moment,
    ) {
        if let Some(entry) = self.entries.get_mut(&account) {
            entry.rest(now);
        }
    }

    /// The standings of waiting accounts, with the floor moved to the least
    /// and debts bounded by the ceiling.
    pub fn standings(
        &mut self,
        waiting: impl Iterator<Item = AccountId>,
        now: Moment,
    ) -> Vec<(AccountId, f64)> {
        let mut standings: Vec<(AccountId, f64)> = waiting
            .map(|account| (account, self.standing(account, now)))
            .collect();
        let Some(least) = standings.iter().map(|(_, s)| *s).reduce(f64::min) else {
            return standings;
        };
        self.floor = Some(least);
        let ceiling = least + self.debt_ceiling;
        for (account, standing) in &mut standings {
            if *standing > ceiling {
                self.entry(*account, now).bound_debt(*standing, ceiling);
                *standing = ceiling;
            }
        }
        standings
    }

    /// What a request of an account is expected to cost, in service units.
    pub fn expected_cost(
        &self,
        account: AccountId,
    ) -> f64 {
        let unseen = self.any_cost.expected(UNSEEN_COST);
        self.entries
            .get(&account)
            .map_or(unseen, |entry| entry.estimate.expected(unseen))
    }

    /// Adds service to an account; negative to take back a charge in advance.
    pub fn charge(
        &mut self,
        account: AccountId,
        units: f64,
        now: Moment,
    ) {
        self.entry(account, now).charge(units);
    }

    /// Takes in what an ended request cost.
    pub fn observe_cost(
        &mut self,
        account: AccountId,
        units: f64,
        now: Moment,
    ) {
        self.any_cost.observe(units);
        self.entry(account, now).estimate.observe(units);
    }

    /// The next report: at most `bound` entries, going round the accounts.
    pub fn report(
        &mut self,
        now: Moment,
        bound: usize,
    ) -> Vec<ReportEntry> {
        let grace = self.idle_grace;
        let due: Vec<AccountId> = self.due_accounts();
        let entries = due
            .iter()
            .take(bound)
            .filter_map(|id| {
                let entry = self.entries.get_mut(id)?;
                Some(entry.to_report(*id, now, grace))
            })
            .collect();
        self.next_report = due.get(bound).copied();
        entries
    }

    /// Takes in a keeper's total.
    pub fn hear(
        &mut self,
        total: &TotalEntry,
    ) {
        if let Some(entry) = self.entries.get_mut(&total.account) {
            entry.hear(total);
        }
    }

    /// Own service, total service and share of each account seen here.
    pub fn accounts(&self) -> impl Iterator<Item = (AccountId, f64, f64, f64)> {
        self.entries.iter().map(|(id, entry)| {
            let share = self.share(*id);
            (*id, entry.own(), entry.total(self.mode), share)
        })
    }

    fn due_accounts(&self) -> Vec<AccountId> {
        let start = self.next_report.unwrap_or(AccountId(0));
        self.entries
            .range(start..)
            .chain(self.entries.range(..start))
            .filter(|(_, entry)| entry.worth_reporting())
            .map(|(id, _)| *id)
            .collect()
    }

    fn standing(
        &mut self,
        account: AccountId,
        now: Moment,
    ) -> f64 {
        let (mode, share, floor) = (self.mode, self.share(account), self.floor);
        self.entry(account, now).standing(mode, share, floor)
    }

    fn entry(
        &mut self,
        account: AccountId,
        now: Moment,
    ) -> &mut LedgerEntry {
        self.entries
            .entry(account)
            .or_insert_with(|| LedgerEntry::new(now))
    }
}
