use {
    crate::fleet::AccountId,
    crate::policy::{LedgerEntry, Moment, ReportEntry, TotalEntry, TotalsMode},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Expected cost of a request, in service units, before any has ended.
const DEFAULT_COST: f64 = 100.0;

/// The service of each account as one sidecar knows it: what it served itself, and the fleet totals
/// that it received.
#[derive(Debug, Clone)]
pub struct Ledger {
    entries: BTreeMap<AccountId, LedgerEntry>,
    shares: HashMap<AccountId, f64>,
    mode: TotalsMode,
    idle_grace: Duration,
    debt_ceiling: f64,                     // service units per share
    floor: Option<f64>,                    // least service per share of the waiting accounts
    any_cost: crate::policy::CostEstimate, // over all accounts
    next_report: Option<AccountId>,        // first account of the next report
}

impl Ledger {
    /// Creates a ledger without accounts.
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

    /// Sets the shares of the configuration in force.
    pub fn set_shares(
        &mut self,
        shares: HashMap<AccountId, f64>,
    ) {
        self.shares = shares;
    }

    /// The share of an account; 1 if unknown.
    pub fn share(
        &self,
        account: AccountId,
    ) -> f64 {
        self.shares.get(&account).copied().unwrap_or(1.0)
    }

    /// The least service per share among the waiting accounts, as last computed.
    pub fn floor(&self) -> Option<f64> {
        self.floor
    }

    /// Records that an account has work here.
    pub fn set_active(
        &mut self,
        account: AccountId,
        now: Moment,
    ) {
        let share = self.share(account);
        let (grace, mode, floor) = (self.idle_grace, self.mode, self.floor);
        self.entry(account, now)
            .set_active(now, grace, mode, share, floor);
    }

    /// Records that an account no longer has work here.
    pub fn set_idle(
        &mut self,
        account: AccountId,
        now: Moment,
    ) {
        if let Some(entry) = self.entries.get_mut(&account) {
            entry.set_idle(now);
        }
    }

    /// The service per share of each waiting account. Moves the floor to the least of them, and
    /// lowers those that are above the floor by more than the debt ceiling.
    pub fn normalized_services(
        &mut self,
        waiting: impl Iterator<Item = AccountId>,
        now: Moment,
    ) -> Vec<(AccountId, f64)> {
        let mut services: Vec<(AccountId, f64)> = waiting
            .map(|account| (account, self.normalized_service(account, now)))
            .collect();
        let Some(least) = services.iter().map(|(_, s)| *s).reduce(f64::min) else {
            return services;
        };
        self.floor = Some(least);
        let ceiling = least + self.debt_ceiling;
        for (account, service) in &mut services {
            if *service > ceiling {
                self.entry(*account, now).bound_debt(*service, ceiling);
                *service = ceiling;
            }
        }
        services
    }

    /// The expected cost of a request of an account, in service units.
    pub fn expected_cost(
        &self,
        account: AccountId,
    ) -> f64 {
        let default = self.any_cost.expected(DEFAULT_COST);
        self.entries
            .get(&account)
            .map_or(default, |entry| entry.estimate.expected(default))
    }

    /// Adds service units to an account; negative ones refund a charge made in advance.
    pub fn charge(
        &mut self,
        account: AccountId,
        units: f64,
        now: Moment,
    ) {
        self.entry(account, now).charge(units);
    }

    /// Records the cost of a request that ended, in service units.
    pub fn observe_cost(
        &mut self,
        account: AccountId,
        units: f64,
        now: Moment,
    ) {
        self.any_cost.observe(units);
        self.entry(account, now).estimate.observe(units);
    }

    /// The next report of at most `bound` entries, taking the accounts in turn.
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

    /// Applies a total that an aggregating router sent.
    pub fn apply_total(
        &mut self,
        total: &TotalEntry,
    ) {
        if let Some(entry) = self.entries.get_mut(&total.account) {
            entry.apply_total(total);
        }
    }

    /// Own service, total service and share of each account that had work here.
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

    fn normalized_service(
        &mut self,
        account: AccountId,
        now: Moment,
    ) -> f64 {
        let (mode, share, floor) = (self.mode, self.share(account), self.floor);
        self.entry(account, now)
            .normalized_service(mode, share, floor)
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
