use {
    super::{
        dispatch_table::DispatchTable, exchange::serve_exchange, router_keys::RouterKey,
        turn::Turn, upstream_client::UpstreamClient,
    },
    crate::{
        conf::SidecarSettings,
        fleet::HostRole,
        link::{Link, LinkHandler, Peer},
        node::{Node, serve_config},
        ops::{
            AccountStatus, AuditTrail, GRANTS, PeerStatus, ProcessStatus, RUNNING, StatusSource,
        },
        policy::{
            Admission, Arrival, DispatchSettings, ExchangeId, Finished, KeyMemory, Moment, Sighting,
        },
        wire::{ControlMessage, Envelope, StreamOpen},
    },
    quinn::{RecvStream, SendStream},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, OnceLock,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{oneshot, watch},
};

/// After the upstream refused a connection, nothing is granted for this long.
const UPSTREAM_REST: Duration = Duration::from_millis(500);

/// A sidecar's shared tables.
///
/// Lock order: membership, `table`, `keys`, then leaf locks. None is held
/// across an await, nor while a message is sent.
pub struct Sidecar {
    pub node: Arc<Node>,
    pub settings: SidecarSettings,
    pub upstream: UpstreamClient,
    pub keys: Mutex<KeyMemory>,
    pub(super) table: Mutex<DispatchTable>,
    link: OnceLock<Arc<Link<Sidecar>>>,
    next_exchange: AtomicU64,
    open: watch::Sender<usize>, // exchanges not yet wholly with their routers
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
            ahead: settings.ahead,
            order: settings.order,
            totals: settings.totals,
            slack: settings.slack,
            debt_ceiling: settings.debt_ceiling,
            grant_ttl: settings.grant_ttl,
            idle_grace: settings.idle_grace,
        };
        let keys = KeyMemory::new(
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
        table.dispatcher.progress(exchange, units, now);
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

    /// The upstream refused a connection: grants rest for a moment.
    pub fn upstream_refused(&self) {
        let until = self.node.now() + UPSTREAM_REST;
        let mut table = self.table.lock().expect("table lock");
        table.dispatcher.close_until(until);
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

    /// Stops granting, hands back what has not started, tells the routers.
    pub fn leave(&self) {
        if !self.node.begin_leaving() {
            return;
        }
        {
            let mut table = self.table.lock().expect("table lock");
            table.leave(self.node.now());
        }
        if let Some(link) = self.link() {
            link.send_to_all(&ControlMessage::Leaving);
        }
    }

    fn on_demand(
        &self,
        peer: &Peer,
        seen: u64,
        lines: &[crate::policy::DemandLine],
    ) {
        {
            let mut table = self.table.lock().expect("table lock");
            let router = table.routers.key(&peer.host);
            table
                .dispatcher
                .announce(router, self.node.now(), seen, lines);
        }
        self.pump();
    }

    fn on_declines(
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

    fn forget_router(
        &self,
        host: &Arc<str>,
    ) {
        {
            let mut table = self.table.lock().expect("table lock");
            let router = table.routers.key(host);
            table.dispatcher.forget_router(router, self.node.now());
        }
        self.pump();
    }
}

impl LinkHandler for Sidecar {
    fn envelope(
        &self,
        message: ControlMessage,
    ) -> Envelope {
        self.node.envelope(message)
    }

    fn hello(&self) -> ControlMessage {
        self.node.hello()
    }

    fn on_up(
        &self,
        peer: &Arc<Peer>,
    ) -> bool {
        match self.node.sight(peer) {
            Sighting::Stale => return false,
            Sighting::Restarted => self.forget_router(&peer.host),
            Sighting::New | Sighting::Same => {}
        }
        if let Some(link) = self.link() {
            let free = self.table.lock().expect("table lock").room_told;
            link.send(peer, ControlMessage::Room { free });
        }
        true
    }

    fn on_message(
        &self,
        peer: &Arc<Peer>,
        envelope: Envelope,
    ) {
        self.node
            .clone()
            .notice_revision(peer, envelope.revision, &envelope.digest);
        if peer.role() != HostRole::Router {
            return; // sidecars have nothing to tell a sidecar
        }
        match envelope.message {
            ControlMessage::Demand { seen, lines } => self.on_demand(peer, seen, &lines),
            ControlMessage::Declines(numbers) => self.on_declines(peer, &numbers),
            ControlMessage::Totals { entries, .. } => {
                let mut table = self.table.lock().expect("table lock");
                entries
                    .iter()
                    .for_each(|entry| table.dispatcher.hear(entry));
            }
            ControlMessage::Leaving => {
                let mut membership = self.node.membership.lock().expect("membership lock");
                membership.leave(&peer.host);
            }
            _ => {}
        }
    }

    fn on_down(
        &self,
        peer: &Arc<Peer>,
        last: bool,
    ) {
        if last {
            self.forget_router(&peer.host);
        }
    }

    async fn on_stream(
        self: Arc<Self>,
        peer: Arc<Peer>,
        open: StreamOpen,
        send: SendStream,
        recv: RecvStream,
    ) {
        match open {
            StreamOpen::Exchange(head) if peer.role() == HostRole::Router => {
                serve_exchange(self, peer, *head, send, recv).await;
            }
            StreamOpen::Exchange(_) => log::warn!("{} may not send requests", peer.name),
            StreamOpen::FetchConfig { have } => {
                if let Err(error) = serve_config(&self.node, &have, send).await {
                    log::debug!(code = error.code.number(); "configuration not given: {error}");
                }
            }
        }
    }
}

impl StatusSource for Sidecar {
    fn status(&self) -> ProcessStatus {
        let mut status = self.node.status();
        {
            let mut table = self.table.lock().expect("table lock");
            let running = table.dispatcher.running();
            let contended = table.dispatcher.waiting() > 0;
            table.clock.observe(self.node.now(), running, contended);
            metrics::gauge!(RUNNING).set(running as f64);
            status.running = running as u64;
            status.waiting = table.dispatcher.waiting();
            status.slots = self.settings.slots;
            status.busy_slot_ms = table.clock.busy().as_millis() as u64;
            status.contended_ms = table.clock.contended_time().as_millis() as u64;
            status.contended_busy_slot_ms = table.clock.contended_busy().as_millis() as u64;
            status.accounts = self.account_statuses(&table);
        }
        if let Some(link) = self.link() {
            status.peers = PeerStatus::of_link(link);
            status.control_bytes = link.counters().totals();
            status.link_bytes = link.sent_bytes();
        }
        status
    }

    fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    fn audit(&self) -> &AuditTrail {
        &self.node.audit
    }
}

impl Sidecar {
    fn account_statuses(
        &self,
        table: &DispatchTable,
    ) -> Vec<AccountStatus> {
        let names: HashMap<_, _> = self.node.account_names();
        table
            .dispatcher
            .ledger()
            .accounts()
            .map(|(id, own, total, share)| AccountStatus {
                account: names.get(&id).cloned().unwrap_or_else(|| id.to_string()),
                share,
                own,
                total,
                waiting: table.dispatcher.waiting_of(id),
            })
            .collect()
    }
}
