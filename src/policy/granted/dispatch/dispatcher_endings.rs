//! How a dispatcher stops granting: for good, after a pause, or for a moment.

use crate::policy::{Dispatcher, ExchangeId, Moment, SlotHold};

impl<R: Copy + Ord> Dispatcher<R> {
    /// Stops granting. Gives the requests that will now never start.
    pub fn leave(
        &mut self,
        now: Moment,
    ) -> Vec<ExchangeId> {
        self.leaving = true;
        self.void_grants(now);
        self.demand.clear();
        self.hand_back(now)
    }

    /// Grants again after it had stopped.
    pub fn come_back(&mut self) {
        self.leaving = false;
    }

    /// Drops grants and demand, which may be old after a pause.
    pub fn forget_views(
        &mut self,
        now: Moment,
    ) {
        self.void_grants(now);
        self.demand.clear();
    }

    /// Grants and starts nothing until then, at least: the upstream refuses connections, or
    /// wants rest. Gives the requests that will now never start here.
    pub fn close_until(
        &mut self,
        now: Moment,
        until: Moment,
    ) -> Vec<ExchangeId> {
        self.closed_until = self.closed_until.max(until);
        self.hand_back(now)
    }

    /// Gives up what has not started.
    fn hand_back(
        &mut self,
        now: Moment,
    ) -> Vec<ExchangeId> {
        let handed_back: Vec<(ExchangeId, SlotHold)> = self.ready.drain(..).collect();
        for (_, held) in &handed_back {
            self.ledger.charge(held.account, -held.charged, now);
            self.release(held.account, now);
        }
        handed_back
            .into_iter()
            .map(|(exchange, _)| exchange)
            .collect()
    }

    fn void_grants(
        &mut self,
        now: Moment,
    ) {
        for grant in self.grants.clear() {
            self.refund(&grant, now);
        }
    }
}
