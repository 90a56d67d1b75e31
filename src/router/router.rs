use {
    super::{
        choose_offer_host::choose_offer_host, sidecar_view::SidecarView, wait_outcome::WaitOutcome,
        waiting_table::WaitingTable,
    },
    crate::{
        callers::CallerLedger,
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

/// The state that a router's tasks share.
///
/// Lock order: membership, `waiting`, `sidecars`, `aggregator`, `retry_budget`, then leaf
/// locks. None is held across an await, nor while a message is sent.
pub struct Router {
    pub node: Arc<Node>,
    pub settings: RouterSettings,
    pub callers: Arc<CallerLedger>, // what callers' connections take
    pub(super) body_bytes: Arc<AtomicU64>, // of requests that are not answered yet
    pub(super) waiting: Mutex<WaitingTable>,
    pub(super) sidecars: Mutex<HashMap<Arc<str>, SidecarView>>, // connected sidecars, by host
    pub(super) aggregator: Mutex<TotalsAggregator>,
    pub(super) demand_changed: Notify,
    retry_budget: Mutex<RetryBudget>,
    link: OnceLock<Arc<Link<Router>>>,
    next_request: AtomicU64,
    open_requests: watch::Sender<usize>, // requests not yet completely answered
    refusing: AtomicBool,                // set when the router stops and takes no new requests
}

/// Counts a request as open for as long as the value lives.
pub struct OpenRequest {
    router: Arc<Router>,
    request_id: String,
}

impl OpenRequest {
    /// The request's identifier, the same at every hop.
    pub fn request_id(&self) -> &str {
        &self.request_id
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.router.open_requests.send_modify(|count| *count -= 1);
    }
}

impl Router {
    /// A router without connections.
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
        let body_bytes = Arc::<AtomicU64>::default();
        let callers = CallerLedger::new(settings.caller_memory, vec![body_bytes.clone()]);
        let queue = RequestQueue::new(bounds, settings.prefix_slack);
        Self {
            node,
            callers,
            body_bytes,
            waiting: Mutex::new(WaitingTable::new(queue)),
            sidecars: Mutex::default(),
            aggregator: Mutex::new(TotalsAggregator::new(
                settings.idle_grace,
                settings.debt_ceiling,
            )),
            demand_changed: Notify::new(),
            retry_budget: Mutex::new(RetryBudget::new(settings.retry_fraction)),
            link: OnceLock::new(),
            next_request: AtomicU64::new(1),
            open_requests: watch::Sender::new(0),
            refusing: AtomicBool::new(false),
            settings,
        }
    }

    /// Sets the link. It can be set only once.
    pub fn set_link(
        &self,
        link: Arc<Link<Router>>,
    ) {
        if self.link.set(link).is_err() {
            log::error!("the link is already set");
        }
    }

    /// The link, once it is set.
    pub fn link(&self) -> Option<&Arc<Link<Router>>> {
        self.link.get()
    }

    /// Counts a request as open until the returned value is dropped.
    pub fn count_open(
        self: &Arc<Self>,
        request_id: &str,
    ) -> OpenRequest {
        self.open_requests.send_modify(|count| *count += 1);
        OpenRequest {
            router: self.clone(),
            request_id: request_id.to_owned(),
        }
    }

    /// Waits until no request is open.
    pub async fn wait_until_all_answered(&self) {
        let mut open = self.open_requests.subscribe();
        if open.wait_for(|count| *count == 0).await.is_err() {
            log::debug!("the counter of open requests is closed");
        }
    }

    /// The number of requests that are not completely answered yet.
    pub fn open_requests(&self) -> u64 {
        *self.open_requests.borrow() as u64
    }

    /// Makes the router refuse all new requests, because it stops.
    pub fn refuse_new_requests(&self) {
        self.refusing.store(true, Ordering::SeqCst);
    }

    /// Whether new requests are refused because the router stops.
    pub fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::SeqCst)
    }

    /// The next number for a waiting request, in order of arrival.
    pub fn next_request_id(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Adds a request's share of retries to the retry budget.
    pub fn count_request(&self) {
        self.retry_budget
            .lock()
            .expect("retry budget lock")
            .record_request();
    }

    /// Takes one retry from the retry budget. False if none is left.
    pub fn take_retry(&self) -> bool {
        self.retry_budget
            .lock()
            .expect("retry budget lock")
            .try_take_retry()
    }

    /// Queues a request and waits until it is granted or shed. `None` if the router stops
    /// first. `is_requeued` is set for a request that a sidecar handed back.
    pub async fn wait_for_grant(
        &self,
        request: WaitingRequest,
        is_requeued: bool,
    ) -> Option<WaitOutcome> {
        let outcome = {
            let mut waiting = self.waiting.lock().expect("waiting lock");
            waiting.enqueue(self.node.now(), request, is_requeued)
        };
        self.demand_changed.notify_one();
        outcome.await.ok()
    }

    /// Chooses a sidecar with a free slot to which the request can be sent without a grant,
    /// and counts the offer there. `None` if there is none, or if other requests of the
    /// account wait already.
    pub fn begin_offer(
        &self,
        request: &WaitingRequest,
    ) -> Option<Arc<Peer>> {
        let link = self.link()?;
        let mut waiting = self.waiting.lock().expect("waiting lock");
        if waiting.queue.is_waiting(request.account) {
            return None;
        }
        let host = {
            let mut sidecars = self.sidecars.lock().expect("sidecar lock");
            let cached = waiting.queue.prefix_host(request);
            let host = choose_offer_host(&sidecars, request, cached)?;
            let view = sidecars.get_mut(&host)?;
            view.open_offers += 1;
            host
        };
        waiting.queue.record_prefix_host(request, &host);
        drop(waiting);
        link.peer(&host)
    }

    /// Ends an offer that [`Self::begin_offer`] began, whatever its outcome.
    pub fn end_offer(
        &self,
        peer: &Peer,
    ) {
        self.update_sidecar(peer, |view| {
            view.open_offers = view.open_offers.saturating_sub(1)
        });
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
                view.newest_grant = view.newest_grant.max(grant.number);
                view.announced.granted(now, grant.account);
                if !waiting.assign_grant(now, peer, grant.account, grant.number) {
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
        let replies = {
            let mut aggregator = self.aggregator.lock().expect("aggregator lock");
            entries
                .iter()
                .map(|entry| {
                    let share = share_of(entry).unwrap_or(1.0);
                    aggregator.apply_report(
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
                entries: replies,
            };
            link.send(peer, reply);
        }
    }

    /// Applies a change to what is known of a sidecar, if it is connected.
    pub(super) fn update_sidecar(
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
