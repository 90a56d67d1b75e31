//! What others may read of a dispatcher.

use {
    crate::fleet::AccountId,
    crate::policy::{Dispatcher, Ledger, Moment},
};

impl<R: Copy + Ord> Dispatcher<R> {
    /// The sidecar's account of service.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Requests in slots.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Granted requests that wait for a slot.
    pub fn ready(&self) -> usize {
        self.ready.len()
    }

    /// Grants outstanding.
    pub fn granted(&self) -> usize {
        self.grants.len()
    }

    /// Requests announced by routers that no grant covers yet.
    pub fn waiting(&self) -> u64 {
        self.demand.count()
    }

    /// An account's requests that no grant covers yet.
    pub fn waiting_of(
        &self,
        account: AccountId,
    ) -> u64 {
        self.demand.count_of(account)
    }

    /// Whether the sidecar has stopped granting for good.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Slots that an offer without a grant may take.
    pub fn free_for_offers(
        &self,
        now: Moment,
    ) -> u32 {
        if self.leaving || now < self.closed_until || self.demand.count() > 0 {
            return 0;
        }
        let used = self.running.len() + self.ready.len() + self.grants.len();
        self.settings.slots.saturating_sub(used as u32)
    }
}
