//! Read access to a dispatcher's state.

use {
    crate::fleet::AccountId,
    crate::policy::{Dispatcher, Ledger, Moment},
};

impl<R: Copy + Ord> Dispatcher<R> {
    /// The service of each account.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The number of requests in slots.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The number of requests that wait for a slot.
    pub fn ready(&self) -> usize {
        self.ready.len()
    }

    /// The number of grants that are neither used nor expired.
    pub fn granted(&self) -> usize {
        self.grants.len()
    }

    /// The number of requests announced by routers that no grant covers yet.
    pub fn waiting(&self) -> u64 {
        self.demand.count()
    }

    /// The number of an account's requests that no grant covers yet.
    pub fn waiting_of(
        &self,
        account: AccountId,
    ) -> u64 {
        self.demand.count_of(account)
    }

    /// Whether the sidecar is leaving, and has stopped granting for that.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// The number of slots that requests without a grant may take.
    pub fn free_for_offers(
        &self,
        now: Moment,
    ) -> u32 {
        if self.leaving || now < self.blocked_until || self.demand.count() > 0 {
            return 0;
        }
        let used = self.running.len() + self.ready.len() + self.grants.len();
        self.settings.slots.saturating_sub(used as u32)
    }
}
