use {
    super::{
        router_keys::{RouterKey, RouterKeys},
        turn::Turn,
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

/// The dispatcher with the requests that wait on it. One lock guards it whole.
pub struct DispatchTable {
    pub dispatcher: Dispatcher<RouterKey>,
    pub routers: RouterKeys,
    pub clock: SlotClock,
    pub room_told: u32, // what routers were last told of free slots
    waiters: HashMap<ExchangeId, oneshot::Sender<Turn>>,
    on_way: watch::Sender<BTreeSet<ExchangeId>>, // admitted, and the upstream has not answered yet
}

impl DispatchTable {
    /// A table with every slot free.
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            dispatcher: Dispatcher::new(settings),
            routers: RouterKeys::default(),
            clock: SlotClock::default(),
            room_told: 0,
            waiters: HashMap::new(),
            on_way: watch::Sender::default(),
        }
    }

    /// Decides on a request; one that must wait gets a receiver for its turn.
    pub fn arrive(
        &mut self,
        now: Moment,
        arrival: &Arrival<RouterKey>,
    ) -> (Admission, Option<oneshot::Receiver<Turn>>) {
        let admission = self.dispatcher.admit(now, arrival);
        if admission == Admission::Start {
            self.set_out(arrival.exchange);
        }
        if admission != Admission::Ready {
            return (admission, None);
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(arrival.exchange, sender);
        (admission, Some(receiver))
    }

    /// The upstream began to answer, so that it has the request.
    pub fn arrived(
        &self,
        exchange: ExchangeId,
    ) {
        self.on_way
            .send_if_modified(|on_way| on_way.remove(&exchange));
    }

    /// Tells which requests are on their way to the upstream.
    pub fn on_way(&self) -> watch::Receiver<BTreeSet<ExchangeId>> {
        self.on_way.subscribe()
    }

    /// Ends an exchange, wherever it stands.
    pub fn finish(
        &mut self,
        exchange: ExchangeId,
        finished: Finished,
        now: Moment,
    ) {
        self.waiters.remove(&exchange);
        self.arrived(exchange);
        self.dispatcher.finish(exchange, finished, now);
    }

    /// Fills free slots and gives the grants to send, by router.
    pub fn pump(
        &mut self,
        now: Moment,
    ) -> BTreeMap<Arc<str>, Vec<Grant>> {
        while let Some(exchange) = self.dispatcher.start_ready(now) {
            self.set_out(exchange);
            self.tell(exchange, Turn::Start);
        }
        let mut grants: BTreeMap<Arc<str>, Vec<Grant>> = BTreeMap::new();
        while let Some((router, grant)) = self.dispatcher.next_grant(now) {
            let host = self.routers.host(router);
            grants.entry(host).or_default().push(grant);
        }
        let held = self.dispatcher.ready() + self.dispatcher.granted();
        let contended = held > 0 || self.dispatcher.waiting() > 0;
        self.clock
            .observe(now, self.dispatcher.running(), contended);
        grants
    }

    /// Stops granting and hands back what has not started.
    pub fn leave(
        &mut self,
        now: Moment,
    ) {
        let handed_back = self.dispatcher.leave(now);
        self.tell_handed_back(handed_back);
    }

    /// Grants and starts nothing until then, and hands back what has not started.
    pub fn close_until(
        &mut self,
        now: Moment,
        until: Moment,
    ) {
        let handed_back = self.dispatcher.suspend_until(now, until);
        self.tell_handed_back(handed_back);
    }

    fn tell_handed_back(
        &mut self,
        exchanges: Vec<ExchangeId>,
    ) {
        for exchange in exchanges {
            self.tell(exchange, Turn::HandedBack);
        }
    }

    fn set_out(
        &self,
        exchange: ExchangeId,
    ) {
        self.on_way.send_modify(|on_way| {
            on_way.insert(exchange);
        });
    }

    fn tell(
        &mut self,
        exchange: ExchangeId,
        turn: Turn,
    ) {
        let told = self
            .waiters
            .remove(&exchange)
            .is_some_and(|waiter| waiter.send(turn).is_ok());
        if !told {
            log::debug!("exchange {exchange} was gone at its turn");
        }
    }
}
