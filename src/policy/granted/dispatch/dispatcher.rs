use {
    crate::fleet::AccountId,
    crate::policy::{
        AheadEstimate, DemandLine, DemandTable, DispatchSettings, ExchangeId, Finished, Grant,
        GrantNumber, GrantTable, IssuedGrant, Ledger, Moment, OrderMode, ReportEntry, SlotHold,
        TotalEntry,
    },
    std::collections::{BTreeMap, HashMap, VecDeque},
};

/// Owns an upstream's capacity: decides which account's request runs next.
///
/// `R` identifies a connected router.
#[derive(Debug, Clone)]
pub struct Dispatcher<R> {
    pub(super) settings: DispatchSettings,
    pub(super) ledger: Ledger,
    pub(super) demand: DemandTable<R>,
    pub(super) grants: GrantTable<R>,
    pub(super) ready: VecDeque<(ExchangeId, SlotHold)>, // granted, waiting for a slot
    pub(super) running: HashMap<ExchangeId, SlotHold>,
    pub(super) busy: BTreeMap<AccountId, u32>, // ready and running, by account
    pub(super) ahead: AheadEstimate,
    next_number: GrantNumber,
    pub(super) leaving: bool,
    pub(super) closed_until: Moment, // the upstream does not take connections
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
            ahead: AheadEstimate::default(),
            next_number: 1,
            leaving: false,
            closed_until: Moment::ZERO,
        }
    }

    /// Takes in what a router announces.
    pub fn announce(
        &mut self,
        router: R,
        now: Moment,
        seen: GrantNumber,
        lines: &[DemandLine],
    ) {
        for line in lines {
            self.demand.announce(router, now, seen, line);
            self.note_activity(line.account, now);
        }
    }

    /// Forgets a router that is gone, with its demand and its grants.
    pub fn forget_router(
        &mut self,
        router: R,
        now: Moment,
    ) {
        let waiting: Vec<AccountId> = self.demand.waiting().collect();
        self.demand.forget_router(router);
        for grant in self.grants.forget_router(router) {
            self.refund(&grant, now);
        }
        for account in waiting {
            self.note_activity(account, now);
        }
    }

    /// The next grant to send out, if there is room and demand.
    pub fn next_grant(
        &mut self,
        now: Moment,
    ) -> Option<(R, Grant)> {
        if self.leaving || now < self.closed_until || self.room() == 0 {
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

    /// Takes a grant back that its router has nothing to send for.
    pub fn decline(
        &mut self,
        router: R,
        number: GrantNumber,
        now: Moment,
    ) {
        if let Some(grant) = self.grants.decline(number, router) {
            self.refund(&grant, now);
            self.demand.declined(grant.grant.account, router, number);
            self.note_activity(grant.grant.account, now);
        }
    }

    /// Voids the grants that were not used in time.
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
            self.note_activity(grant.grant.account, now);
        }
        expired.len()
    }

    /// Charges what a running request has cost so far beyond its advance.
    pub fn progress(
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

    /// Frees a slot, or a place among the ready ones.
    pub fn finish(
        &mut self,
        exchange: ExchangeId,
        finished: Finished,
        now: Moment,
    ) {
        let held = match self.running.remove(&exchange) {
            Some(held) => {
                self.ahead.observe_service(now.saturating_sub(held.started));
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

    /// The next report to keepers, at most `bound` entries.
    pub fn report(
        &mut self,
        now: Moment,
        bound: usize,
    ) -> Vec<ReportEntry> {
        self.ledger.report(now, bound)
    }

    /// Takes in a keeper's total.
    pub fn hear(
        &mut self,
        total: &TotalEntry,
    ) {
        self.ledger.hear(total);
    }

    /// Takes over the shares of the configuration in force.
    pub fn set_shares(
        &mut self,
        shares: HashMap<AccountId, f64>,
    ) {
        self.ledger.set_shares(shares);
    }

    pub(super) fn room(&self) -> u32 {
        let held = self.running.len() + self.ready.len() + self.grants.len();
        let ahead = self.ahead.target(self.settings.slots, self.settings.ahead);
        (self.settings.slots + ahead).saturating_sub(held as u32)
    }

    fn choose(
        &mut self,
        now: Moment,
    ) -> Option<(AccountId, R)> {
        if self.settings.order == OrderMode::Arrival {
            return self.demand.longest_waiting(now);
        }
        let standings = self.ledger.standings(self.demand.waiting(), now);
        let least = self.ledger.floor()?;
        let level = least + self.settings.slack;
        standings
            .iter()
            .filter(|(_, standing)| *standing <= level)
            .filter_map(|(account, standing)| {
                let (deadline, router) = self.demand.most_urgent(*account)?;
                Some((deadline, *standing, *account, router))
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
        self.note_activity(account, now);
    }

    pub(super) fn refund(
        &mut self,
        grant: &IssuedGrant<R>,
        now: Moment,
    ) {
        self.ledger.charge(grant.grant.account, -grant.charge, now);
    }

    fn note_activity(
        &mut self,
        account: AccountId,
        now: Moment,
    ) {
        if self.demand.is_waiting(account) || self.busy.contains_key(&account) {
            self.ledger.wake(account, now);
        } else {
            self.ledger.rest(account, now);
        }
    }
}
