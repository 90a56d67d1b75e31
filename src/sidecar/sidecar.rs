use {
    super::{
        dispatch_table::DispatchTable, router_keys::RouterKey, turn::Turn,
        upstream_client::UpstreamClient,
    },
    crate::{
        conf::SidecarSettings,
        link::{Link, Peer},
        node::Node,
        ops::GRANTS,
        policy::{
            Admission, Arrival, DemandLine, DispatchSettings, ExchangeId, Finished,
            IdempotencyKeys, Moment,
        },
        wire::ControlMessage,
    },
    std::{
        sync::{
            Arc, Mutex, OnceLock,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{oneshot, watch},
        time::timeout,
    },
};

/// After the upstream refused a connection, nothing is granted for this long.
const UPSTREAM_REST: Duration = Duration::from_millis(500);

/// How long a sidecar that leaves waits for its upstream to answer what was sent there
/// before it says so. An upstream on the same host has read a request long before; one
/// that answers only when all is done must not keep routers from hearing of it.
const ARRIVAL_TIME: Duration = Duration::from_secs(1);

/// A sidecar's shared tables.
///
/// Lock order: membership, `table`, `keys`, then leaf locks. None is held
/// across an await, nor while a message is sent.
pub struct Sidecar {
    pub node: Arc<Node>,
    pub settings: SidecarSettings,
    pub upstream: UpstreamClient,
    pub keys: Mutex<IdempotencyKeys>,
    pub(super) table: Mutex<DispatchTable>,
    link: OnceLock<Arc<Link<Sidecar>>>,
    next_exchange: AtomicU64,
    pub(super) leaves_for_good: AtomicBool, // its host leaves, or this process stops
    open: watch::Sender<usize>,             // exchanges not yet wholly with their routers
}

/// Counts an open exchange for as long as it lives.
pub struct OpenExchange<'s>(&'s Sidecar);

impl Drop for OpenExchange<'_> {
    fn drop(&mut self) {
        self.0.open.send_modify(|count| *count -= 1);
    }
}

impl Sidecar {
    /// A sidecar that is not linked to anyone yet.
    pub fn new(
        node: Arc<Node>,
        settings: SidecarSettings,
        upstream: UpstreamClient,
    ) -> Self {
        let dispatch = DispatchSettings {
            slots: settings.slots,
            max_ready: settings.ahead,
            order: settings.order,
            totals: settings.totals,
            slack: settings.slack,
            debt_ceiling: settings.debt_ceiling,
            grant_ttl: settings.grant_ttl,
            idle_grace: settings.idle_grace,
        };
        let keys = IdempotencyKeys::new(
            settings.key_memory,
            settings.key_quarantine,
            settings.max_keys,
        );
        Self {
            node,
            settings,
            upstream,
            keys: Mutex::new(keys),
            table: Mutex::new(DispatchTable::new(dispatch)),
            link: OnceLock::new(),
            next_exchange: AtomicU64::new(1),
            leaves_for_good: AtomicBool::new(false),
            open: watch::Sender::new(0),
        }
    }

    /// Gives the sidecar its link, once.
    pub fn set_link(
        &self,
        link: Arc<Link<Sidecar>>,
    ) {
        if self.link.set(link).is_err() {
            log::error!("the link was set before");
        }
    }

    /// The link, once it is set.
    pub fn link(&self) -> Option<&Arc<Link<Sidecar>>> {
        self.link.get()
    }

    /// Counts an exchange as open until the returned value is dropped.
    pub fn count_open(&self) -> OpenExchange<'_> {
        self.open.send_modify(|count| *count += 1);
        OpenExchange(self)
    }

    /// Waits until no exchange is open.
    pub async fn all_closed(&self) {
        let mut open = self.open.subscribe();
        if open.wait_for(|count| *count == 0).await.is_err() {
            log::debug!("the counter is gone");
        }
    }

    /// A number for a new exchange.
    pub fn next_exchange_id(&self) -> ExchangeId {
        self.next_exchange.fetch_add(1, Ordering::Relaxed)
    }

    /// The number of a router's host.
    pub fn router_key(
        &self,
        host: &Arc<str>,
    ) -> RouterKey {
        self.table.lock().expect("table lock").routers.key(host)
    }

    /// Decides on a request; see [`DispatchTable::arrive`].
    pub fn arrive(
        &self,
        arrival: &Arrival<RouterKey>,
    ) -> (Admission, Option<oneshot::Receiver<Turn>>) {
        let outcome = {
            let mut table = self.table.lock().expect("table lock");
            table.arrive(self.node.now(), arrival)
        };
        self.pump();
        outcome
    }

    /// Charges what a running request has cost so far.
    pub fn charge(
        &self,
        exchange: ExchangeId,
        units: f64,
        now: Moment,
    ) {
        let mut table = self.table.lock().expect("table lock");
        table.dispatcher.charge_progress(exchange, units, now);
    }

    /// Ends an exchange and gives its slot on.
    pub fn finish(
        &self,
        exchange: ExchangeId,
        finished: Finished,
    ) {
        {
            let mut table = self.table.lock().expect("table lock");
            table.finish(exchange, finished, self.node.now());
        }
        self.pump();
    }

    /// The upstream refused a connection: it is left alone for a moment.
    pub fn upstream_refused(&self) {
        self.rest(UPSTREAM_REST);
    }

    /// Nothing is granted or started for so long.
    pub(super) fn rest(
        &self,
        time: Duration,
    ) {
        let now = self.node.now();
        let mut table = self.table.lock().expect("table lock");
        table.close_until(now, now + time);
    }

    /// Fills free slots and sends out grants.
    pub fn pump(&self) {
        let grants = {
            let mut table = self.table.lock().expect("table lock");
            table.pump(self.node.now())
        };
        let Some(link) = self.link() else { return };
        for (host, grants) in grants {
            metrics::counter!(GRANTS, "outcome" => "issued").increment(grants.len() as u64);
            if let Some(peer) = link.peer(&host) {
                link.send(&peer, ControlMessage::Grants(grants));
            }
        }
    }

    /// The upstream began to answer a request.
    pub fn arrived(
        &self,
        exchange: ExchangeId,
    ) {
        self.table.lock().expect("table lock").arrived(exchange);
    }

    /// Leaves, and does not come back whatever its upstream does.
    pub async fn leave_for_good(&self) {
        self.leaves_for_good.store(true, Ordering::SeqCst);
        self.leave().await;
    }

    /// Stops granting, hands back what has not started, waits for what is on its way
    /// to the upstream, and tells the routers. In this order: once anyone is told that
    /// it leaves, nothing reaches the upstream. False if it leaves already.
    pub(super) async fn leave(&self) -> bool {
        let mut on_way = {
            let mut table = self.table.lock().expect("table lock");
            if table.dispatcher.is_leaving() {
                return false;
            }
            table.leave(self.node.now());
            table.on_way()
        };
        let arrived = on_way.wait_for(|on_way| on_way.is_empty());
        let in_time = timeout(ARRIVAL_TIME, arrived).await.is_ok();
        log::info!(all_arrived = in_time; "leaving: takes no new work");
        if self.node.begin_leaving()
            && let Some(link) = self.link()
        {
            link.send_to_all(&ControlMessage::Leaving);
        }
        true
    }

    pub(super) fn on_demand(
        &self,
        peer: &Peer,
        seen: u64,
        lines: &[DemandLine],
    ) {
        {
            let mut table = self.table.lock().expect("table lock");
            let router = table.routers.key(&peer.host);
            table
                .dispatcher
                .update_demand(router, self.node.now(), seen, lines);
        }
        self.pump();
    }

    pub(super) fn on_declines(
        &self,
        peer: &Peer,
        numbers: &[u64],
    ) {
        metrics::counter!(GRANTS, "outcome" => "declined").increment(numbers.len() as u64);
        {
            let mut table = self.table.lock().expect("table lock");
            let router = table.routers.key(&peer.host);
            for number in numbers {
                table.dispatcher.decline(router, *number, self.node.now());
            }
        }
        self.pump();
    }

    pub(super) fn forget_router(
        &self,
        host: &Arc<str>,
    ) {
        {
            let mut table = self.table.lock().expect("table lock");
            let router = table.routers.key(host);
            table.dispatcher.remove_router(router, self.node.now());
        }
        self.pump();
    }
}
