use {
    crate::fleet::AccountId,
    crate::policy::{DemandLine, GrantNumber, Moment},
    std::{collections::BTreeMap, time::Duration},
};

/// The requests that wait for a sidecar at each router, as the routers announce them.
#[derive(Debug, Clone)]
pub struct DemandTable<R> {
    accounts: BTreeMap<AccountId, BTreeMap<R, Announced>>,
}

#[derive(Debug, Clone)]
struct Announced {
    count: u32,               // as announced
    deadline: Moment,         // of the most urgent request
    announced: Moment,        // when the announcement arrived
    waited: Duration,         // how long the oldest request had waited when announced
    seen: GrantNumber,        // newest grant that the router had received by then
    unseen: Vec<GrantNumber>, // open grants that the router had not received by then
    used: u32,                // how many grants left `unseen` because they were used
}

impl Announced {
    fn remaining(&self) -> u32 {
        self.count.saturating_sub(self.granted())
    }

    /// Grants that the announcement does not account for, open or used.
    fn granted(&self) -> u32 {
        self.unseen.len() as u32 + self.used
    }

    /// How long the next request has waited in seconds, if requests arrived evenly.
    fn next_waited(
        &self,
        now: Moment,
    ) -> f64 {
        let oldest = self.waited.as_secs_f64() + now.saturating_sub(self.announced).as_secs_f64();
        let position = f64::from(self.granted()) / f64::from(self.count.max(1));
        oldest * (1.0 - position).max(0.0)
    }
}

impl<R: Copy + Ord> Default for DemandTable<R> {
    fn default() -> Self {
        Self {
            accounts: BTreeMap::new(),
        }
    }
}

impl<R: Copy + Ord> DemandTable<R> {
    /// Applies an announcement. `seen` is the newest grant that its router had received.
    pub fn announce(
        &mut self,
        router: R,
        now: Moment,
        seen: GrantNumber,
        line: &DemandLine,
    ) {
        let routers = self.accounts.entry(line.account).or_default();
        let mut unseen = routers
            .remove(&router)
            .map_or_else(Vec::new, |announced| announced.unseen);
        unseen.retain(|number| *number > seen);
        if line.count > 0 || !unseen.is_empty() {
            let announced = Announced {
                count: line.count,
                deadline: now + Duration::from_millis(line.patience_ms.into()),
                announced: now,
                waited: Duration::from_millis(line.waited_ms.into()),
                seen,
                unseen,
                used: 0,
            };
            routers.insert(router, announced);
        }
        if routers.is_empty() {
            self.accounts.remove(&line.account);
        }
    }

    /// Counts a grant against the announced requests.
    pub fn granted(
        &mut self,
        account: AccountId,
        router: R,
        number: GrantNumber,
    ) {
        if let Some(announced) = self
            .accounts
            .get_mut(&account)
            .and_then(|routers| routers.get_mut(&router))
        {
            announced.unseen.push(number);
        }
    }

    /// Records that a grant was used, so that one request fewer waits at its router.
    pub fn used(
        &mut self,
        account: AccountId,
        router: R,
        number: GrantNumber,
    ) {
        if let Some(announced) = self.remove_unseen(account, router, number) {
            announced.used += 1;
        }
    }

    /// Records that a grant expired. The request that it was for may still wait.
    pub fn expired(
        &mut self,
        account: AccountId,
        router: R,
        number: GrantNumber,
    ) {
        self.remove_unseen(account, router, number);
    }

    /// Removes a grant from those that an announcement does not account for. `None` if it was
    /// not among them.
    fn remove_unseen(
        &mut self,
        account: AccountId,
        router: R,
        number: GrantNumber,
    ) -> Option<&mut Announced> {
        let announced = self.accounts.get_mut(&account)?.get_mut(&router)?;
        let index = announced.unseen.iter().position(|open| *open == number)?;
        announced.unseen.swap_remove(index);
        Some(announced)
    }

    /// Applies a router's message that it had nothing to send for a grant. An announcement made
    /// after the router received that grant stays valid, whichever of the two arrives first.
    pub fn declined(
        &mut self,
        account: AccountId,
        router: R,
        number: GrantNumber,
    ) {
        if let Some(routers) = self.accounts.get_mut(&account) {
            let older = |announced: &Announced| announced.seen < number;
            if routers.get(&router).is_some_and(older) {
                routers.remove(&router);
            }
            if routers.is_empty() {
                self.accounts.remove(&account);
            }
        }
    }

    /// Removes all that a router announced.
    pub fn remove_router(
        &mut self,
        router: R,
    ) {
        self.accounts.retain(|_, routers| {
            routers.remove(&router);
            !routers.is_empty()
        });
    }

    /// Removes all announcements.
    pub fn clear(&mut self) {
        self.accounts.clear();
    }

    /// Accounts with requests that no grant covers yet.
    pub fn waiting(&self) -> impl Iterator<Item = AccountId> {
        self.accounts
            .iter()
            .filter(|(_, routers)| routers.values().any(|a| a.remaining() > 0))
            .map(|(account, _)| *account)
    }

    /// Whether this account has requests that no grant covers yet.
    pub fn is_waiting(
        &self,
        account: AccountId,
    ) -> bool {
        self.accounts
            .get(&account)
            .is_some_and(|routers| routers.values().any(|a| a.remaining() > 0))
    }

    /// The number of requests that no grant covers yet.
    pub fn count(&self) -> u64 {
        self.accounts
            .values()
            .flat_map(BTreeMap::values)
            .map(|announced| u64::from(announced.remaining()))
            .sum()
    }

    /// The number of an account's requests that no grant covers yet.
    pub fn count_of(
        &self,
        account: AccountId,
    ) -> u64 {
        self.accounts.get(&account).map_or(0, |routers| {
            routers.values().map(|a| u64::from(a.remaining())).sum()
        })
    }

    /// The deadline of an account's most urgent request, and its router.
    pub fn most_urgent(
        &self,
        account: AccountId,
    ) -> Option<(Moment, R)> {
        self.accounts
            .get(&account)?
            .iter()
            .filter(|(_, announced)| announced.remaining() > 0)
            .map(|(router, announced)| (announced.deadline, *router))
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(&b.1)))
    }

    /// The account and router whose next request has waited longest.
    pub fn longest_waiting(
        &self,
        now: Moment,
    ) -> Option<(AccountId, R)> {
        self.accounts
            .iter()
            .flat_map(|(account, routers)| {
                routers
                    .iter()
                    .map(move |(router, announced)| (*account, *router, announced))
            })
            .filter(|(_, _, announced)| announced.remaining() > 0)
            .max_by(|a, b| a.2.next_waited(now).total_cmp(&b.2.next_waited(now)))
            .map(|(account, router, _)| (account, router))
    }
}
