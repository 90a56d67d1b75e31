use {
    super::{sidecar_view::SidecarView, turn::Turn, waiting_table::WaitingTable},
    crate::{
        conf::RouterSettings,
        fleet::HostRole,
        link::{Link, LinkHandler, Peer},
        node::{Node, serve_config},
        ops::{AccountStatus, AuditTrail, PeerStatus, ProcessStatus, StatusSource, WAITING},
        policy::{
            Grant, Keeper, ReportEntry, RetryBudget, Sighting, WaitingBounds, WaitingRequest,
            WaitingRoom,
        },
        wire::{ControlMessage, Envelope, StreamOpen},
    },
    quinn::{RecvStream, SendStream},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, OnceLock,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
    tokio::sync::{Notify, watch},
};

/// A router's shared tables.
///
/// Lock order: membership, `waiting`, `sidecars`, `keeper`, `budget`, then leaf
/// locks. None is held across an await, nor while a message is sent.
pub struct Router {
    pub node: Arc<Node>,
    pub settings: RouterSettings,
    pub(super) waiting: Mutex<WaitingTable>,
    pub(super) sidecars: Mutex<HashMap<Arc<str>, SidecarView>>, // connected ones, by host
    pub(super) keeper: Mutex<Keeper>,
    pub(super) demand_changed: Notify,
    budget: Mutex<RetryBudget>,
    link: OnceLock<Arc<Link<Router>>>,
    next_request: AtomicU64,
    held: watch::Sender<usize>, // requests not yet wholly answered
    refusing: AtomicBool,       // stops, and takes no more requests
}

/// Counts a request as held for as long as it lives.
pub struct HeldRequest {
    router: Arc<Router>,
    request_id: String,
}

impl HeldRequest {
    /// The request's name at every hop.
    pub fn request_id(&self) -> &str {
        &self.request_id
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.router.held.send_modify(|count| *count -= 1);
    }
}

impl Router {
    /// A router that is not linked to anyone yet.
    pub fn new(
        node: Arc<Node>,
        settings: RouterSettings,
    ) -> Self {
        let bounds = WaitingBounds {
            requests: settings.max_requests,
            bytes: settings.max_bytes,
            per_account: settings.max_per_account,
            refuse_early: settings.refuse_early,
        };
        let room = WaitingRoom::new(bounds, settings.prefix_slack);
        Self {
            node,
            waiting: Mutex::new(WaitingTable::new(room)),
            sidecars: Mutex::default(),
            keeper: Mutex::new(Keeper::new(settings.idle_grace, settings.debt_ceiling)),
            demand_changed: Notify::new(),
            budget: Mutex::new(RetryBudget::new(settings.retry_fraction)),
            link: OnceLock::new(),
            next_request: AtomicU64::new(1),
            held: watch::Sender::new(0),
            refusing: AtomicBool::new(false),
            settings,
        }
    }

    /// Gives the router its link, once.
    pub fn set_link(
        &self,
        link: Arc<Link<Router>>,
    ) {
        if self.link.set(link).is_err() {
            log::error!("the link was set before");
        }
    }

    /// The link, once it is set.
    pub fn link(&self) -> Option<&Arc<Link<Router>>> {
        self.link.get()
    }

    /// Counts a request as held until the returned value is dropped.
    pub fn hold(
        self: &Arc<Self>,
        request_id: &str,
    ) -> HeldRequest {
        self.held.send_modify(|count| *count += 1);
        HeldRequest {
            router: self.clone(),
            request_id: request_id.to_owned(),
        }
    }

    /// Waits until no request is held.
    pub async fn all_answered(&self) {
        let mut held = self.held.subscribe();
        if held.wait_for(|count| *count == 0).await.is_err() {
            log::debug!("the counter is gone");
        }
    }

    /// Refuses requests from now on.
    pub fn refuse_new(&self) {
        self.refusing.store(true, Ordering::SeqCst);
    }

    /// Whether requests are refused because the router stops.
    pub fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::SeqCst)
    }

    /// A number for a new request, in order of arrival.
    pub fn next_request_id(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a first attempt towards the retry budget.
    pub fn count_request(&self) {
        self.budget.lock().expect("budget lock").request();
    }

    /// Takes a retry from the budget.
    pub fn take_retry(&self) -> bool {
        self.budget.lock().expect("budget lock").take()
    }

    /// Waits for a grant, or to be given up. None if the router stops first.
    pub async fn wait_for_turn(
        &self,
        request: WaitingRequest,
        again: bool,
    ) -> Option<Turn> {
        let turn = {
            let mut waiting = self.waiting.lock().expect("waiting lock");
            waiting.wait(self.node.now(), request, again)
        };
        self.demand_changed.notify_one();
        turn.await.ok()
    }

    /// A sidecar with a slot free for a request nobody waits before: the one
    /// that served its prompt prefix last, or one of the emptiest.
    pub fn pick_offer(
        &self,
        request: &WaitingRequest,
    ) -> Option<Arc<Peer>> {
        let link = self.link()?;
        let mut waiting = self.waiting.lock().expect("waiting lock");
        if waiting.room.is_waiting(request.account) {
            return None;
        }
        let host = {
            let mut sidecars = self.sidecars.lock().expect("sidecar lock");
            let cached = waiting.room.prefix_host(request);
            let host = offer_host(&sidecars, request, cached)?;
            let view = sidecars.get_mut(&host)?;
            view.offered += 1;
            host
        };
        waiting.room.note_prefix(request, &host);
        drop(waiting);
        link.peer(&host)
    }

    /// An offer ended, in whatever way.
    pub fn offer_ended(
        &self,
        peer: &Peer,
    ) {
        self.with_sidecar(peer, |view| view.offered = view.offered.saturating_sub(1));
    }

    fn on_grants(
        &self,
        peer: &Arc<Peer>,
        grants: &[Grant],
    ) {
        let now = self.node.now();
        let mut declined = Vec::new();
        {
            let mut waiting = self.waiting.lock().expect("waiting lock");
            let mut sidecars = self.sidecars.lock().expect("sidecar lock");
            let view = sidecars
                .entry(peer.host.clone())
                .or_insert_with(|| SidecarView::new(false));
            for grant in grants {
                view.seen = view.seen.max(grant.number);
                view.announced.granted(grant.account);
                if !waiting.grant(now, peer, grant.account, grant.number) {
                    view.announced.declined(grant.account);
                    declined.push(grant.number);
                }
            }
        }
        if let (false, Some(link)) = (declined.is_empty(), self.link()) {
            link.send(peer, ControlMessage::Declines(declined));
        }
        self.demand_changed.notify_one();
    }

    fn on_report(
        &self,
        peer: &Arc<Peer>,
        sequence: u64,
        floor: Option<f64>,
        entries: &[ReportEntry],
    ) {
        let now = self.node.now();
        let config = self.node.config.current();
        let share_of = |entry: &ReportEntry| {
            let config = config.as_ref()?;
            config.config.share(entry.account)
        };
        let totals = {
            let mut keeper = self.keeper.lock().expect("keeper lock");
            entries
                .iter()
                .map(|entry| {
                    let share = share_of(entry).unwrap_or(1.0);
                    keeper.report(
                        now,
                        &peer.host,
                        peer.incarnation,
                        sequence,
                        floor,
                        share,
                        entry,
                    )
                })
                .collect()
        };
        if let Some(link) = self.link() {
            let reply = ControlMessage::Totals {
                sequence,
                entries: totals,
            };
            link.send(peer, reply);
        }
    }

    /// Changes what is known of a sidecar.
    pub(super) fn with_sidecar(
        &self,
        peer: &Peer,
        change: impl FnOnce(&mut SidecarView),
    ) {
        let mut sidecars = self.sidecars.lock().expect("sidecar lock");
        if let Some(view) = sidecars.get_mut(&peer.host) {
            change(view);
        }
    }
}

impl LinkHandler for Router {
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
        if self.node.sight(peer) == Sighting::Stale {
            return false;
        }
        if peer.role() == HostRole::Sidecar {
            let view = SidecarView::new(peer.leaving);
            let mut sidecars = self.sidecars.lock().expect("sidecar lock");
            sidecars.insert(peer.host.clone(), view);
        }
        self.demand_changed.notify_one();
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
        if peer.role() != HostRole::Sidecar {
            return; // routers have nothing to tell a router
        }
        match envelope.message {
            ControlMessage::Grants(grants) => self.on_grants(peer, &grants),
            ControlMessage::Room { free } => self.with_sidecar(peer, |view| view.free = free),
            ControlMessage::Leaving => {
                self.with_sidecar(peer, |view| {
                    view.leaving = true;
                    view.free = 0;
                });
                let mut membership = self.node.membership.lock().expect("membership lock");
                membership.leave(&peer.host);
            }
            ControlMessage::AskDemand => {
                self.with_sidecar(peer, |view| view.announced.clear());
                self.demand_changed.notify_one();
            }
            ControlMessage::Report {
                sequence,
                floor,
                entries,
            } => self.on_report(peer, sequence, floor, &entries),
            _ => {}
        }
    }

    fn on_down(
        &self,
        peer: &Arc<Peer>,
        last: bool,
    ) {
        if last {
            let mut sidecars = self.sidecars.lock().expect("sidecar lock");
            sidecars.remove(&peer.host);
        }
    }

    async fn on_stream(
        self: Arc<Self>,
        peer: Arc<Peer>,
        open: StreamOpen,
        send: SendStream,
        _recv: RecvStream,
    ) {
        match open {
            StreamOpen::FetchConfig { have } => {
                if let Err(error) = serve_config(&self.node, &have, send).await {
                    log::debug!(code = error.code.number(); "configuration not given: {error}");
                }
            }
            StreamOpen::Exchange(_) => log::warn!("{} sent a request to a router", peer.name),
        }
    }
}

impl StatusSource for Router {
    fn status(&self) -> ProcessStatus {
        let mut status = self.node.status();
        {
            let waiting = self.waiting.lock().expect("waiting lock");
            status.waiting = waiting.room.len() as u64;
            metrics::gauge!(WAITING).set(waiting.room.len() as f64);
            status.accounts = self.account_statuses(&waiting.room);
        }
        status.running =
            *self.held.borrow() as u64 - status.waiting.min(*self.held.borrow() as u64);
        status.kept_accounts = self.keeper.lock().expect("keeper lock").len() as u64;
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

impl Router {
    /// The accounts that this router keeps, or that wait here.
    fn account_statuses(
        &self,
        room: &WaitingRoom,
    ) -> Vec<AccountStatus> {
        let names = self.node.account_names();
        let kept: HashMap<_, _> = {
            let keeper = self.keeper.lock().expect("keeper lock");
            keeper.totals().collect()
        };
        let waiting: HashMap<_, _> = room
            .queues()
            .map(|(id, queue)| (id, queue.len() as u64))
            .collect();
        let config = self.node.config.current();
        names
            .into_iter()
            .filter(|(id, _)| kept.contains_key(id) || waiting.contains_key(id))
            .map(|(id, account)| AccountStatus {
                account,
                share: config
                    .as_ref()
                    .and_then(|c| c.config.share(id))
                    .unwrap_or(1.0),
                own: 0.0,
                total: kept.get(&id).copied().unwrap_or(0.0),
                waiting: waiting.get(&id).copied().unwrap_or(0),
            })
            .collect()
    }
}

fn offer_host(
    sidecars: &HashMap<Arc<str>, SidecarView>,
    request: &WaitingRequest,
    cached: Option<&Arc<str>>,
) -> Option<Arc<str>> {
    let room = |host: &Arc<str>| sidecars.get(host).map_or(0, SidecarView::room);
    let is_open = |host: &&Arc<str>| room(host) > 0;
    if let Some(host) = cached.filter(is_open)
        && request.hosts.binary_search(host).is_ok()
    {
        return Some(host.clone());
    }
    let most = request.hosts.iter().filter(is_open).map(room).max()?;
    let emptiest: Vec<&Arc<str>> = request
        .hosts
        .iter()
        .filter(is_open)
        .filter(|host| room(host) == most)
        .collect();
    // Requests are numbered, so successive ones go round the emptiest.
    let turn = request.id as usize % emptiest.len();
    Some(emptiest[turn].clone())
}
