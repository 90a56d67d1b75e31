use {
    super::{
        AccountShare, AccountUsage, FairAllocation, PlacementRate, RecentAllocations, ReportedUsage,
    },
    crate::policy::{Moment, Reporter, ReporterScope},
    std::{collections::HashMap, time::Duration},
};

/// Usage decays in steps of this length, exponentially with the window as the time constant.
/// Recent allocations are updated as often.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Accounts with fewer tokens than this are dropped.
const NEGLIGIBLE_TOKENS: f32 = 1.0;

/// The tokens that accounts requested and were allocated, at this router and at its peers.
#[derive(Debug)]
pub struct ShareTracker {
    window: Duration,
    peer_age: Duration,              // older reports of peers are ignored
    capacity: f32,                   // declared, in tokens a second of all replicas; 0 if unset
    own: HashMap<u32, AccountUsage>, // of this router
    reported: ReportedUsage,
    decayed: Moment, // when `own` was last decayed
    recent: RecentAllocations,
    placements: PlacementRate,
}

impl ShareTracker {
    /// Creates a tracker without usage. Reports of peers count for `peer_age`.
    pub fn new(
        window: Duration,
        peer_age: Duration,
    ) -> Self {
        Self {
            window,
            peer_age,
            capacity: 0.0,
            own: HashMap::new(),
            reported: ReportedUsage::default(),
            decayed: Moment::ZERO,
            recent: RecentAllocations::default(),
            placements: PlacementRate::default(),
        }
    }

    /// Changes the window and the age of reports, and keeps the usage.
    pub fn set_window(
        &mut self,
        window: Duration,
        peer_age: Duration,
    ) {
        self.window = window;
        self.peer_age = peer_age;
    }

    /// Sets what all replicas produce as the operator declares it, in tokens a second.
    pub fn set_declared_capacity(
        &mut self,
        tokens_per_second: Option<f64>,
    ) {
        self.capacity = tokens_per_second.map_or(0.0, |tokens| tokens as f32);
    }

    /// Sets for how long reports of peers count.
    pub fn set_peer_age(
        &mut self,
        peer_age: Duration,
    ) {
        self.peer_age = peer_age;
    }

    /// Records that an account requested this many tokens.
    pub fn record_requested(
        &mut self,
        now: Moment,
        account: u32,
        tokens: f32,
    ) {
        self.decay(now);
        self.own.entry(account).or_default().requested += tokens;
    }

    /// Records that an account was allocated this many tokens.
    pub fn record_allocated(
        &mut self,
        now: Moment,
        account: u32,
        tokens: f32,
    ) {
        self.decay(now);
        self.own.entry(account).or_default().allocated += tokens;
    }

    /// Records that allocated tokens were not produced: they no longer count.
    pub fn record_unused(
        &mut self,
        account: u32,
        tokens: f32,
    ) {
        if let Some(usage) = self.own.get_mut(&account) {
            usage.allocated = (usage.allocated - tokens).max(0.0);
        }
    }

    /// Applies a report of another router or zone on the usage of some accounts.
    pub fn apply_report(
        &mut self,
        now: Moment,
        reporter: Reporter,
        usage: &[(u32, AccountUsage)],
    ) {
        self.reported
            .apply_report(now, reporter, usage, self.peer_age);
    }

    /// Removes all that a router or zone reported, as it is gone. `name` is the hash of its
    /// address or name.
    pub fn remove_reporter(
        &mut self,
        name: u32,
    ) {
        self.reported.remove(name);
    }

    /// This router's own usage, to be reported to peers. Called for each report, also without
    /// any requests, so that recent allocations are counted at the fair level of their time.
    pub fn own_usage(
        &mut self,
        now: Moment,
    ) -> &HashMap<u32, AccountUsage> {
        self.decay(now);
        self.update_recent(now);
        &self.own
    }

    /// The share of an account that now sends a request of `request_tokens`, which are already
    /// recorded.
    pub fn account_share(
        &mut self,
        now: Moment,
        account: u32,
        request_tokens: f32,
    ) -> AccountShare {
        self.update_recent(now);
        let allocation = self.fair_allocation(now);
        allocation.share(now, &self.recent, account, request_tokens)
    }

    /// The current allocation, and the share of each account that recently sent requests.
    pub fn account_shares(
        &mut self,
        now: Moment,
    ) -> (FairAllocation, Vec<AccountShare>) {
        self.update_recent(now);
        let allocation = self.fair_allocation(now);
        let accounts = allocation.usage().map(|(account, _)| account);
        let shares = accounts
            .map(|account| allocation.share(now, &self.recent, account, 0.0))
            .collect();
        (allocation, shares)
    }

    /// The current allocation among all accounts that recently sent requests.
    pub fn fair_allocation(
        &mut self,
        now: Moment,
    ) -> FairAllocation {
        let usage = self.fleet_usage(now);
        let allocated = usage.values().map(|usage| usage.allocated).sum();
        FairAllocation::new(self.window, usage, self.divisible(now, allocated))
    }

    fn update_recent(
        &mut self,
        now: Moment,
    ) {
        if self.recent.is_due(now, UPDATE_INTERVAL) {
            let allocation = self.fair_allocation(now);
            self.recent.update(now, &allocation);
        }
    }

    /// Counts a request of an account that was not over its share: it was placed on a replica,
    /// or refused for lack of capacity.
    pub fn record_placement(
        &mut self,
        now: Moment,
        is_placed: bool,
    ) {
        self.placements.count(now, is_placed);
    }

    /// The tokens to divide among accounts: those allocated in a window, plus the rest of the
    /// declared capacity as far as requests are placed. So no account counts as over its share
    /// after a window in which little was allocated although capacity is there, and no tokens
    /// are divided that replicas do not produce because some are lost.
    fn divisible(
        &self,
        now: Moment,
        allocated: f32,
    ) -> f32 {
        let rest = self.capacity * self.window.as_secs_f32() - allocated;
        allocated + rest.max(0.0) * self.placements.spare(now)
    }

    /// The usage of each account over the fleet.
    pub fn fleet_usage(
        &mut self,
        now: Moment,
    ) -> HashMap<u32, AccountUsage> {
        let mut sum = self.reported.sum(now, self.peer_age, self.window).clone();
        add_usage(&mut sum, &self.own);
        sum
    }

    /// What an account is allocated over the fleet, as a part of what the account with most is. Zero
    /// if nobody is allocated anything.
    pub fn served_fraction(
        &mut self,
        now: Moment,
        account: u32,
    ) -> f32 {
        self.decay(now);
        let usage = self.fleet_usage(now);
        let most = usage.values().map(|usage| usage.allocated);
        let most = most.fold(0.0, f32::max);
        let own = usage.get(&account).map_or(0.0, |usage| usage.allocated);
        if most > 0.0 { own / most } else { 0.0 }
    }

    /// The usage of each account in this zone.
    pub fn zone_usage(
        &mut self,
        now: Moment,
    ) -> HashMap<u32, AccountUsage> {
        self.decay(now);
        let routers = |scope| scope == ReporterScope::Router;
        let mut sum = self
            .reported
            .sum_of(now, self.peer_age, self.window, routers);
        add_usage(&mut sum, &self.own);
        sum
    }

    fn decay(
        &mut self,
        now: Moment,
    ) {
        let steps = now.saturating_sub(self.decayed).as_millis() / UPDATE_INTERVAL.as_millis();
        if steps == 0 {
            return;
        }
        let passed = UPDATE_INTERVAL.saturating_mul(u32::try_from(steps).unwrap_or(u32::MAX));
        self.decayed += passed;
        let factor = (-passed.as_secs_f32() / self.window.as_secs_f32()).exp();
        self.own.retain(|_, usage| {
            usage.decay(factor);
            usage.requested > NEGLIGIBLE_TOKENS || usage.allocated > NEGLIGIBLE_TOKENS
        });
    }
}

fn add_usage(
    sum: &mut HashMap<u32, AccountUsage>,
    more: &HashMap<u32, AccountUsage>,
) {
    for (account, usage) in more {
        *sum.entry(*account).or_default() += *usage;
    }
}
