use {
    super::{
        router_numbers::{RouterNumber, RouterNumbers},
        slot_decision::SlotDecision,
    },
    crate::policy::{
        Admission, Arrival, DispatchSettings, Dispatcher, ExchangeId, Finished, Grant, Moment,
        SlotClock,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
    tokio::sync::{oneshot, watch},
};

/// The dispatcher, with a channel to the task of each request that waits for a slot. The
/// whole table is behind one lock.
pub struct DispatchTable {
    pub dispatcher: Dispatcher<RouterNumber>,
    pub routers: RouterNumbers,
    pub clock: SlotClock,
    pub announced_free_slots: u32, // free slots as last announced to the routers
    waiters: HashMap<ExchangeId, oneshot::Sender<SlotDecision>>,
    in_transit: watch::Sender<BTreeSet<ExchangeId>>, // started, no answer yet
}

impl DispatchTable {
    /// A table in which every slot is free.
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            dispatcher: Dispatcher::new(settings),
            routers: RouterNumbers::default(),
            clock: SlotClock::default(),
            announced_free_slots: 0,
            waiters: HashMap::new(),
            in_transit: watch::Sender::default(),
        }
    }

    /// Decides on a request. One that must wait for a slot gets a receiver for the decision.
    pub fn admit(
        &mut self,
        now: Moment,
        arrival: &Arrival<RouterNumber>,
    ) -> (Admission, Option<oneshot::Receiver<SlotDecision>>) {
        let admission = self.dispatcher.admit(now, arrival);
        if admission == Admission::Start {
            self.mark_in_transit(arrival.exchange);
        }
        if admission != Admission::Ready {
            return (admission, None);
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(arrival.exchange, sender);
        (admission, Some(receiver))
    }

    /// Records that the upstream has the request, because it began to answer.
    pub fn mark_received(
        &self,
        exchange: ExchangeId,
    ) {
        self.in_transit
            .send_if_modified(|in_transit| in_transit.remove(&exchange));
    }

    /// Watches the started requests that the upstream has not begun to answer, so that it may
    /// not have received them yet.
    pub fn in_transit(&self) -> watch::Receiver<BTreeSet<ExchangeId>> {
        self.in_transit.subscribe()
    }

    /// Ends an exchange, whether it waits or runs.
    pub fn finish(
        &mut self,
        exchange: ExchangeId,
        finished: Finished,
        now: Moment,
    ) {
        self.waiters.remove(&exchange);
        self.mark_received(exchange);
        self.dispatcher.finish(exchange, finished, now);
    }

    /// Starts waiting requests in free slots and issues new grants, which are returned by
    /// router host.
    pub fn dispatch(
        &mut self,
        now: Moment,
    ) -> BTreeMap<Arc<str>, Vec<Grant>> {
        while let Some(exchange) = self.dispatcher.start_ready(now) {
            self.mark_in_transit(exchange);
            self.resolve(exchange, SlotDecision::Start);
        }
        let mut grants: BTreeMap<Arc<str>, Vec<Grant>> = BTreeMap::new();
        while let Some((router, grant)) = self.dispatcher.next_grant(now) {
            let host = self.routers.host(router);
            grants.entry(host).or_default().push(grant);
        }
        let not_started = self.dispatcher.ready() + self.dispatcher.granted();
        let contended = not_started > 0 || self.dispatcher.waiting() > 0;
        self.clock
            .observe(now, self.dispatcher.running(), contended);
        grants
    }

    /// Stops granting, and hands back the requests that have not started.
    pub fn leave(
        &mut self,
        now: Moment,
    ) {
        let handed_back = self.dispatcher.leave(now);
        self.resolve_handed_back(handed_back);
    }

    /// Grants and starts nothing before `until`, and hands back the requests that have not
    /// started.
    pub fn block_until(
        &mut self,
        now: Moment,
        until: Moment,
    ) {
        let handed_back = self.dispatcher.block_until(now, until);
        self.resolve_handed_back(handed_back);
    }

    fn resolve_handed_back(
        &mut self,
        exchanges: Vec<ExchangeId>,
    ) {
        for exchange in exchanges {
            self.resolve(exchange, SlotDecision::HandedBack);
        }
    }

    fn mark_in_transit(
        &self,
        exchange: ExchangeId,
    ) {
        self.in_transit.send_modify(|in_transit| {
            in_transit.insert(exchange);
        });
    }

    fn resolve(
        &mut self,
        exchange: ExchangeId,
        decision: SlotDecision,
    ) {
        let is_resolved = self
            .waiters
            .remove(&exchange)
            .is_some_and(|waiter| waiter.send(decision).is_ok());
        if !is_resolved {
            log::debug!("exchange {exchange} ended before its slot was assigned");
        }
    }
}
