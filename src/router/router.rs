use {
    super::{
        offers::offer_host, sidecar_view::SidecarView, turn::Turn, waiting_table::WaitingTable,
    },
    crate::{
        conf::RouterSettings,
        link::{Link, Peer},
        node::Node,
        policy::{
            Grant, QueueBounds, ReportEntry, RequestQueue, RetryBudget, TotalsAggregator,
            WaitingRequest,
        },
        wire::ControlMessage,
    },
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
    pub(super) keeper: Mutex<TotalsAggregator>,
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
        let bounds = QueueBounds {
            requests: settings.max_requests,
            bytes: settings.max_bytes,
            per_account: settings.max_per_account,
            refuse_early: settings.refuse_early,
        };
        let room = RequestQueue::new(bounds, settings.prefix_slack);
        Self {
            node,
            waiting: Mutex::new(WaitingTable::new(room)),
            sidecars: Mutex::default(),
            keeper: Mutex::new(TotalsAggregator::new(
                settings.idle_grace,
                settings.debt_ceiling,
            )),
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

    /// Requests that are not wholly answered yet.
    pub fn held(&self) -> u64 {
        *self.held.borrow() as u64
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
        self.budget.lock().expect("budget lock").record_request();
    }

    /// Takes a retry from the budget.
    pub fn take_retry(&self) -> bool {
        self.budget.lock().expect("budget lock").try_take_retry()
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
        waiting.room.record_prefix_host(request, &host);
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

    pub(super) fn on_grants(
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
                view.announced.granted(now, grant.account);
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

    pub(super) fn on_report(
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
                    keeper.apply_report(
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
