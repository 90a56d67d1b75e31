//! How a dispatcher stops granting: for good, for a while, or to drop what may be outdated.

use crate::policy::{Dispatcher, ExchangeId, Moment, SlotHold};

impl<R: Copy + Ord> Dispatcher<R> {
    /// Stops granting. Returns the requests that will never start here.
    pub fn leave(
        &mut self,
        now: Moment,
    ) -> Vec<ExchangeId> {
        self.leaving = true;
        self.revoke_grants(now);
        self.demand.clear();
        self.drop_ready(now)
    }

    /// Grants again after having stopped.
    pub fn resume(&mut self) {
        self.leaving = false;
    }

    /// Drops grants and demand, which may be outdated after the process was suspended.
    pub fn discard_stale_state(
        &mut self,
        now: Moment,
    ) {
        self.revoke_grants(now);
        self.demand.clear();
    }

    /// Grants and admits nothing before `until`, as the upstream refuses connections or wants no
    /// requests. Returns the ready requests, which will never start here.
    pub fn block_until(
        &mut self,
        now: Moment,
        until: Moment,
    ) -> Vec<ExchangeId> {
        self.blocked_until = self.blocked_until.max(until);
        self.drop_ready(now)
    }

    /// Drops the requests that have not started, and refunds their charges.
    fn drop_ready(
        &mut self,
        now: Moment,
    ) -> Vec<ExchangeId> {
        let dropped: Vec<(ExchangeId, SlotHold)> = self.ready.drain(..).collect();
        for (_, held) in &dropped {
            self.ledger.charge(held.account, -held.charged, now);
            self.release(held.account, now);
        }
        dropped.into_iter().map(|(exchange, _)| exchange).collect()
    }

    fn revoke_grants(
        &mut self,
        now: Moment,
    ) {
        for grant in self.grants.clear() {
            self.refund(&grant, now);
        }
    }
}
