use {
    super::{
        dispatch_table::DispatchTable, router_numbers::RouterNumber, slot_decision::SlotDecision,
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

/// How long nothing is granted or started after the upstream refused a connection.
const REFUSED_CONNECTION_BACKOFF: Duration = Duration::from_millis(500);

/// How long a leaving sidecar waits for the upstream to begin answering the requests sent to
/// it before it announces that it leaves. By then an upstream on the same host has read them
/// all; one that answers only when its work is done must not delay the announcement.
const UPSTREAM_RECEIPT_TIMEOUT: Duration = Duration::from_secs(1);

/// The state that a sidecar's tasks share.
///
/// Lock order: membership, `table`, `idempotency_keys`, then leaf locks. None is held
/// across an await, nor while a message is sent.
pub struct Sidecar {
    pub node: Arc<Node>,
    pub settings: SidecarSettings,
    pub upstream: UpstreamClient,
    pub idempotency_keys: Mutex<IdempotencyKeys>,
    pub(super) table: Mutex<DispatchTable>,
    link: OnceLock<Arc<Link<Sidecar>>>,
    next_exchange: AtomicU64,
    pub(super) leaves_permanently: AtomicBool, // the host is leaving or this process stops
    open_exchanges: watch::Sender<usize>,      // not yet completely delivered
}

/// Counts an exchange as open for as long as the value lives.
pub struct OpenExchange<'s>(&'s Sidecar);

impl Drop for OpenExchange<'_> {
    fn drop(&mut self) {
        self.0.open_exchanges.send_modify(|count| *count -= 1);
    }
}

impl Sidecar {
    /// A sidecar without connections.
    pub fn new(
        node: Arc<Node>,
        settings: SidecarSettings,
        upstream: UpstreamClient,
    ) -> Self {
        let dispatch_settings = DispatchSettings {
            slots: settings.slots,
            max_ready: settings.max_ready,
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
            idempotency_keys: Mutex::new(keys),
            table: Mutex::new(DispatchTable::new(dispatch_settings)),
            link: OnceLock::new(),
            next_exchange: AtomicU64::new(1),
            leaves_permanently: AtomicBool::new(false),
            open_exchanges: watch::Sender::new(0),
        }
    }

    /// Sets the link. It can be set only once.
    pub fn set_link(
        &self,
        link: Arc<Link<Sidecar>>,
    ) {
        if self.link.set(link).is_err() {
            log::error!("the link is already set");
        }
    }

    /// The link, once it is set.
    pub fn link(&self) -> Option<&Arc<Link<Sidecar>>> {
        self.link.get()
    }

    /// Counts an exchange as open until the returned value is dropped.
    pub fn count_open(&self) -> OpenExchange<'_> {
        self.open_exchanges.send_modify(|count| *count += 1);
        OpenExchange(self)
    }

    /// Waits until no exchange is open.
    pub async fn wait_until_all_closed(&self) {
        let mut open = self.open_exchanges.subscribe();
        if open.wait_for(|count| *count == 0).await.is_err() {
            log::debug!("the counter of open exchanges is closed");
        }
    }

    /// The number for a new exchange.
    pub fn next_exchange_id(&self) -> ExchangeId {
        self.next_exchange.fetch_add(1, Ordering::Relaxed)
    }

    /// The number of a router's host.
    pub fn router_number(
        &self,
        host: &Arc<str>,
    ) -> RouterNumber {
        self.table
            .lock()
            .expect("table lock")
            .routers
            .number_of(host)
    }

    /// Decides on a request, then starts waiting ones and sends new grants. A request that must
    /// wait for a slot gets a receiver for the decision.
    pub fn admit(
        &self,
        arrival: &Arrival<RouterNumber>,
    ) -> (Admission, Option<oneshot::Receiver<SlotDecision>>) {
        let outcome = {
            let mut table = self.table.lock().expect("table lock");
            table.admit(self.node.now(), arrival)
        };
        self.dispatch();
        outcome
    }

    /// Charges a running request's cost so far, in service units, to its account.
    pub fn charge(
        &self,
        exchange: ExchangeId,
        units: f64,
        now: Moment,
    ) {
        let mut table = self.table.lock().expect("table lock");
        table.dispatcher.charge_progress(exchange, units, now);
    }

    /// Ends an exchange and reuses its slot.
    pub fn finish(
        &self,
        exchange: ExchangeId,
        finished: Finished,
    ) {
        {
            let mut table = self.table.lock().expect("table lock");
            table.finish(exchange, finished, self.node.now());
        }
        self.dispatch();
    }

    /// Backs off briefly after the upstream refused a connection.
    pub fn back_off_after_refusal(&self) {
        self.back_off(REFUSED_CONNECTION_BACKOFF);
    }

    /// Grants and starts nothing for this long.
    pub(super) fn back_off(
        &self,
        duration: Duration,
    ) {
        let now = self.node.now();
        let mut table = self.table.lock().expect("table lock");
        table.block_until(now, now + duration);
    }

    /// Starts waiting requests in free slots and sends new grants to the routers.
    pub fn dispatch(&self) {
        let grants = {
            let mut table = self.table.lock().expect("table lock");
            table.dispatch(self.node.now())
        };
        let Some(link) = self.link() else { return };
        for (host, grants) in grants {
            metrics::counter!(GRANTS, "outcome" => "issued").increment(grants.len() as u64);
            if let Some(peer) = link.peer(&host) {
                link.send(&peer, ControlMessage::Grants(grants));
            }
        }
    }

    /// Records that the upstream has a request, because it began to answer.
    pub fn mark_received(
        &self,
        exchange: ExchangeId,
    ) {
        self.table
            .lock()
            .expect("table lock")
            .mark_received(exchange);
    }

    /// Leaves, and does not resume when the upstream is replaced.
    pub async fn leave_permanently(&self) {
        self.leaves_permanently.store(true, Ordering::SeqCst);
        self.leave().await;
    }

    /// Stops granting, hands back requests that have not started, waits until the upstream
    /// has received those sent to it, and then notifies the routers. The order ensures that
    /// no request reaches the upstream after the notification. False if already leaving.
    pub(super) async fn leave(&self) -> bool {
        let mut in_transit = {
            let mut table = self.table.lock().expect("table lock");
            if table.dispatcher.is_leaving() {
                return false;
            }
            table.leave(self.node.now());
            table.in_transit()
        };
        let all_answering = in_transit.wait_for(|in_transit| in_transit.is_empty());
        let all_received = timeout(UPSTREAM_RECEIPT_TIMEOUT, all_answering)
            .await
            .is_ok();
        log::info!(all_arrived = all_received; "leaving: takes no new work");
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
        newest_grant: u64,
        lines: &[DemandLine],
    ) {
        {
            let mut table = self.table.lock().expect("table lock");
            let router = table.routers.number_of(&peer.host);
            table
                .dispatcher
                .update_demand(router, self.node.now(), newest_grant, lines);
        }
        self.dispatch();
    }

    pub(super) fn on_declines(
        &self,
        peer: &Peer,
        numbers: &[u64],
    ) {
        metrics::counter!(GRANTS, "outcome" => "declined").increment(numbers.len() as u64);
        {
            let mut table = self.table.lock().expect("table lock");
            let router = table.routers.number_of(&peer.host);
            for number in numbers {
                table.dispatcher.decline(router, *number, self.node.now());
            }
        }
        self.dispatch();
    }

    /// Discards the demand and the grants of a router that has disconnected or restarted.
    pub(super) fn remove_router(
        &self,
        host: &Arc<str>,
    ) {
        {
            let mut table = self.table.lock().expect("table lock");
            let router = table.routers.number_of(host);
            table.dispatcher.remove_router(router, self.node.now());
        }
        self.dispatch();
    }
}
