use {
    crate::fleet::AccountId,
    crate::policy::{
        DemandLine, DemandTable, DispatchSettings, ExchangeId, Finished, Grant, GrantNumber,
        GrantTable, IssuedGrant, Ledger, Moment, OrderMode, ReadyTarget, ReportEntry, SlotHold,
        TotalEntry,
    },
    std::collections::{BTreeMap, HashMap, VecDeque},
};

/// Manages an upstream's capacity: decides which account's request runs next.
///
/// `R` identifies a connected router.
#[derive(Debug, Clone)]
pub struct Dispatcher<R> {
    pub(super) settings: DispatchSettings,
    pub(super) ledger: Ledger,
    pub(super) demand: DemandTable<R>,
    pub(super) grants: GrantTable<R>,
    pub(super) ready: VecDeque<(ExchangeId, SlotHold)>, // waiting for a slot
    pub(super) running: HashMap<ExchangeId, SlotHold>,
    pub(super) busy: BTreeMap<AccountId, u32>, // ready and running, by account
    pub(super) ready_target: ReadyTarget,
    next_number: GrantNumber,
    pub(super) leaving: bool,
    pub(super) blocked_until: Moment, // the upstream refuses connections or wants no requests
}

impl<R: Copy + Ord> Dispatcher<R> {
    /// A dispatcher with every slot free.
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            settings,
            ledger: Ledger::new(settings.totals, settings.idle_grace, settings.debt_ceiling),
            demand: DemandTable::default(),
            grants: GrantTable::default(),
            ready: VecDeque::new(),
            running: HashMap::new(),
            busy: BTreeMap::new(),
            ready_target: ReadyTarget::default(),
            next_number: 1,
            leaving: false,
            blocked_until: Moment::ZERO,
        }
    }

    /// Applies a router's announcement of demand.
    pub fn update_demand(
        &mut self,
        router: R,
        now: Moment,
        seen: GrantNumber,
        lines: &[DemandLine],
    ) {
        for line in lines {
            self.demand.announce(router, now, seen, line);
            self.update_activity(line.account, now);
        }
    }

    /// Removes a router that is gone, with its demand and its grants.
    pub fn remove_router(
        &mut self,
        router: R,
        now: Moment,
    ) {
        let waiting: Vec<AccountId> = self.demand.waiting().collect();
        self.demand.remove_router(router);
        for grant in self.grants.remove_router(router) {
            self.refund(&grant, now);
        }
        for account in waiting {
            self.update_activity(account, now);
        }
    }

    /// Issues the next grant, if there is capacity and demand.
    pub fn next_grant(
        &mut self,
        now: Moment,
    ) -> Option<(R, Grant)> {
        if self.leaving || now < self.blocked_until || self.grantable() == 0 {
            return None;
        }
        let (account, router) = self.choose(now)?;
        let grant = Grant {
            number: self.next_number,
            account,
        };
        self.next_number += 1;
        let charge = self.ledger.expected_cost(account);
        self.ledger.charge(account, charge, now);
        self.demand.granted(account, router, grant.number);
        self.grants.insert(IssuedGrant {
            grant,
            router,
            issued: now,
            expires: now + self.settings.grant_ttl,
            charge,
        });
        Some((router, grant))
    }

    /// Takes back a grant for which its router has nothing to send.
    pub fn decline(
        &mut self,
        router: R,
        number: GrantNumber,
        now: Moment,
    ) {
        if let Some(grant) = self.grants.decline(number, router) {
            self.refund(&grant, now);
            self.demand.declined(grant.grant.account, router, number);
            self.update_activity(grant.grant.account, now);
        }
    }

    /// Revokes the grants that were not used in time. Returns how many.
    pub fn expire(
        &mut self,
        now: Moment,
    ) -> usize {
        let expired = self.grants.expire(now);
        for grant in &expired {
            self.refund(grant, now);
            let number = grant.grant.number;
            self.demand
                .expired(grant.grant.account, grant.router, number);
            self.update_activity(grant.grant.account, now);
        }
        expired.len()
    }

    /// Charges what a running request has cost so far beyond what was charged already.
    pub fn charge_progress(
        &mut self,
        exchange: ExchangeId,
        units: f64,
        now: Moment,
    ) {
        if let Some(held) = self.running.get_mut(&exchange)
            && units > held.charged
        {
            let more = units - held.charged;
            held.charged = units;
            let account = held.account;
            self.ledger.charge(account, more, now);
        }
    }

    /// Records that a request has finished: frees its slot or its place among the ready ones, and
    /// charges its cost.
    pub fn finish(
        &mut self,
        exchange: ExchangeId,
        finished: Finished,
        now: Moment,
    ) {
        let held = match self.running.remove(&exchange) {
            Some(held) => {
                self.ready_target
                    .observe_service(now.saturating_sub(held.started));
                held
            }
            None => match self.take_ready(exchange) {
                Some(held) => held,
                None => return,
            },
        };
        let cost = match finished {
            Finished::Cost(units) => {
                self.ledger.observe_cost(held.account, units, now);
                units
            }
            Finished::NotRun => 0.0,
        };
        self.ledger.charge(held.account, cost - held.charged, now);
        self.release(held.account, now);
    }

    /// Moves the next ready request into a free slot.
    pub fn start_ready(
        &mut self,
        now: Moment,
    ) -> Option<ExchangeId> {
        if self.leaving || self.running.len() >= self.settings.slots as usize {
            return None;
        }
        let (exchange, held) = self.ready.pop_front()?;
        self.running.insert(
            exchange,
            SlotHold {
                started: now,
                ..held
            },
        );
        Some(exchange)
    }

    /// The next report of at most `bound` entries, to the routers that aggregate totals.
    pub fn report(
        &mut self,
        now: Moment,
        bound: usize,
    ) -> Vec<ReportEntry> {
        self.ledger.report(now, bound)
    }

    /// Applies a total that an aggregating router sent.
    pub fn apply_total(
        &mut self,
        total: &TotalEntry,
    ) {
        self.ledger.apply_total(total);
    }

    /// Sets the shares of the configuration in force.
    pub fn set_shares(
        &mut self,
        shares: HashMap<AccountId, f64>,
    ) {
        self.ledger.set_shares(shares);
    }

    /// How many more grants may be issued now.
    pub(super) fn grantable(&self) -> u32 {
        let held = self.running.len() + self.ready.len() + self.grants.len();
        let ready = self
            .ready_target
            .target(self.settings.slots, self.settings.max_ready);
        (self.settings.slots + ready).saturating_sub(held as u32)
    }

    /// The account to grant next, and the router to send the grant to. In fair order, it is the
    /// account with the most urgent request among those whose service per share is within
    /// `slack` of the least.
    fn choose(
        &mut self,
        now: Moment,
    ) -> Option<(AccountId, R)> {
        if self.settings.order == OrderMode::Arrival {
            return self.demand.longest_waiting(now);
        }
        let services = self.ledger.normalized_services(self.demand.waiting(), now);
        let least = self.ledger.floor()?;
        let bound = least + self.settings.slack;
        services
            .iter()
            .filter(|(_, service)| *service <= bound)
            .filter_map(|(account, service)| {
                let (deadline, router) = self.demand.most_urgent(*account)?;
                Some((deadline, *service, *account, router))
            })
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(_, _, account, router)| (account, router))
    }

    fn take_ready(
        &mut self,
        exchange: ExchangeId,
    ) -> Option<SlotHold> {
        let index = self.ready.iter().position(|(id, _)| *id == exchange)?;
        self.ready.remove(index).map(|(_, held)| held)
    }

    pub(super) fn release(
        &mut self,
        account: AccountId,
        now: Moment,
    ) {
        if let Some(count) = self.busy.get_mut(&account) {
            *count -= 1;
            if *count == 0 {
                self.busy.remove(&account);
            }
        }
        self.update_activity(account, now);
    }

    pub(super) fn refund(
        &mut self,
        grant: &IssuedGrant<R>,
        now: Moment,
    ) {
        self.ledger.charge(grant.grant.account, -grant.charge, now);
    }

    fn update_activity(
        &mut self,
        account: AccountId,
        now: Moment,
    ) {
        if self.demand.is_waiting(account) || self.busy.contains_key(&account) {
            self.ledger.set_active(account, now);
        } else {
            self.ledger.set_idle(account, now);
        }
    }
}
