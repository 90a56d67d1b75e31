//! Admission of requests that reach the sidecar.

use {
    crate::codes::ResultCode,
    crate::policy::{Admission, Arrival, Dispatcher, GrantNumber, Moment, SlotHold},
};

impl<R: Copy + Ord> Dispatcher<R> {
    /// Decides whether a request that reached the sidecar starts, waits for a slot or is refused.
    pub fn admit(
        &mut self,
        now: Moment,
        arrival: &Arrival<R>,
    ) -> Admission {
        if self.leaving {
            return Admission::Refused(ResultCode::Leaving);
        }
        if now < self.blocked_until {
            return Admission::Refused(ResultCode::UpstreamUnreachable);
        }
        match arrival.grant {
            Some(number) => self.admit_granted(now, arrival, number),
            None => self.admit_ungranted(now, arrival),
        }
    }

    fn admit_granted(
        &mut self,
        now: Moment,
        arrival: &Arrival<R>,
        number: GrantNumber,
    ) -> Admission {
        let Some(grant) = self.grants.redeem(number, arrival.router, now) else {
            return Admission::Refused(ResultCode::GrantExpired);
        };
        self.demand
            .used(grant.grant.account, arrival.router, number);
        if grant.grant.account != arrival.account {
            self.refund(&grant, now);
            return Admission::Refused(ResultCode::GrantExpired);
        }
        self.ready_target
            .observe_round_trip(now.saturating_sub(grant.issued));
        self.hold(now, arrival, grant.charge)
    }

    fn admit_ungranted(
        &mut self,
        now: Moment,
        arrival: &Arrival<R>,
    ) -> Admission {
        if self.free_for_offers(now) == 0 {
            return Admission::Refused(ResultCode::Busy);
        }
        let charge = self.ledger.expected_cost(arrival.account);
        self.ledger.set_active(arrival.account, now);
        self.ledger.charge(arrival.account, charge, now);
        self.hold(now, arrival, charge)
    }

    fn hold(
        &mut self,
        now: Moment,
        arrival: &Arrival<R>,
        charged: f64,
    ) -> Admission {
        let held = SlotHold {
            account: arrival.account,
            charged,
            started: now,
        };
        *self.busy.entry(arrival.account).or_default() += 1;
        let free = self.running.len() < self.settings.slots as usize;
        if free && self.ready.is_empty() {
            self.running.insert(arrival.exchange, held);
            return Admission::Start;
        }
        self.ready.push_back((arrival.exchange, held));
        Admission::Ready
    }
}
