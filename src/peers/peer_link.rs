use {
    super::{CatalogNews, RouterState, own_certificate::quic_configs, peer_dial::keep_peer},
    crate::{
        catalog::CatalogVersion,
        codes::{Fault, ResultCode},
        direct::Gateway,
        ops::{CONTROL_BYTES, PEERS, Uptime},
        policy::placement::{ReplicaReport, replica_key},
        wire::{encode_frame, read_frame},
    },
    bytes::Bytes,
    quinn::{Connection, Endpoint, RecvStream, SendStream},
    std::{
        collections::{HashMap, HashSet},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, broadcast, watch},
};

/// Reports that a slow connection may be behind.
const REPORT_BACKLOG: usize = 8;

/// The shortest time between two reports.
const LEAST_PAUSE: Duration = Duration::from_millis(10);

/// This router's end of its connections to the others.
pub struct PeerLink {
    pub(super) gateway: Arc<Gateway>,
    pub(super) endpoint: Endpoint,
    pub(super) reports: broadcast::Sender<Bytes>, // encoded
    pub(super) heard: watch::Sender<u64>,         // reports of peers so far
    incarnation: u64,
    sequence: AtomicU64,
    wanted: Notify, // a report before its time
}

impl PeerLink {
    /// Binds the address for peers: code 93.
    pub fn bind(gateway: Arc<Gateway>) -> Result<Arc<Self>, Fault> {
        let (server, client) = quic_configs()?;
        let mut endpoint = Endpoint::server(server, gateway.settings().peers)
            .map_err(|error| Fault::new(ResultCode::StartFailed, error))?;
        endpoint.set_default_client_config(client);
        Ok(Arc::new(Self {
            gateway,
            endpoint,
            reports: broadcast::Sender::new(REPORT_BACKLOG),
            heard: watch::Sender::new(0),
            incarnation: Uptime::unix_millis(),
            sequence: AtomicU64::new(0),
            wanted: Notify::new(),
        }))
    }

    /// Starts to listen, to tell, and to connect to every router known.
    pub fn start(self: Arc<Self>) {
        tokio::spawn(self.clone().accept());
        tokio::spawn(self.clone().tell());
        tokio::spawn(self.follow_routers());
    }

    /// Sends a report now, not at its time.
    pub fn tell_now(&self) {
        self.wanted.notify_one();
    }

    async fn accept(self: Arc<Self>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let link = self.clone();
            tokio::spawn(async move {
                match incoming.await {
                    Ok(connection) => link.listen(connection).await,
                    Err(error) => log::debug!("incoming connection of a router: {error}"),
                }
            });
        }
    }

    async fn listen(
        self: Arc<Self>,
        connection: Connection,
    ) {
        loop {
            tokio::select! {
                stream = connection.accept_uni() => match stream {
                    Ok(stream) => {
                        tokio::spawn(self.clone().read_report(stream));
                    }
                    Err(_) => return,
                },
                stream = connection.accept_bi() => match stream {
                    Ok((send, recv)) => {
                        tokio::spawn(self.clone().give_news(send, recv));
                    }
                    Err(_) => return,
                },
            }
        }
    }

    async fn read_report(
        self: Arc<Self>,
        mut stream: RecvStream,
    ) {
        match read_frame::<RouterState, _>(&mut stream).await {
            Ok(Some(state)) => self.take(state),
            Ok(None) => {}
            Err(error) => {
                log::warn!(code = error.code.number(); "report of a router refused: {error}");
            }
        }
    }

    async fn give_news(
        self: Arc<Self>,
        mut send: SendStream,
        mut recv: RecvStream,
    ) {
        let Ok(Some(theirs)) = read_frame::<CatalogVersion, _>(&mut recv).await else {
            return;
        };
        let catalog = &self.gateway.catalog;
        let ours = catalog.version();
        let text = catalog
            .config_text()
            .filter(|_| ours.config > theirs.config);
        let news = CatalogNews {
            config: text.map(|text| text.to_string()),
            records: catalog.records_after(theirs.upstreams),
            upstreams_at: ours.upstreams,
        };
        let Ok(frame) = encode_frame(&news) else {
            return;
        };
        metrics::counter!(CONTROL_BYTES, "kind" => "news").increment(frame.len() as u64);
        if send.write_all(&frame).await.is_ok() && send.finish().is_err() {
            log::debug!("news not finished");
        }
    }

    /// Takes in what a peer reports.
    fn take(
        &self,
        state: RouterState,
    ) {
        let gateway = &self.gateway;
        let now = gateway.now();
        let peers = &gateway.peers;
        if !peers.hear(
            now,
            state.address,
            state.incarnation,
            state.sequence,
            state.leaving,
            state.version,
        ) {
            return;
        }
        peers.learn(now, &state.routers);
        let peer = peer_key(&state);
        let told: HashMap<u64, ReplicaReport> = state
            .replicas
            .into_iter()
            .map(|report| (report.replica, report))
            .collect();
        let mut board = gateway.board();
        board.hear(now, peer, &told);
        for note in &state.notes {
            if let Some(view) = board.by_key(note.replica) {
                view.cache.note(note.part);
            }
        }
        drop(board);
        let accounts = state.accounts.into_iter().collect();
        gateway.shares().hear(now, peer, accounts);
        self.heard.send_modify(|count| *count += 1);
    }

    /// Sends reports at their pace, and at once when the catalog changes.
    async fn tell(self: Arc<Self>) {
        let mut changes = self.gateway.catalog.subscribe();
        loop {
            let report = self.report();
            match encode_frame(&report) {
                Ok(frame) => {
                    let bytes = frame.len() as u64 * self.reports.receiver_count() as u64;
                    metrics::counter!(CONTROL_BYTES, "kind" => "report").increment(bytes);
                    if self.reports.send(frame.into()).is_err() {
                        log::trace!("no router is connected");
                    }
                }
                Err(error) => log::error!(code = error.code.number(); "no report: {error}"),
            }
            tokio::time::sleep(LEAST_PAUSE).await;
            tokio::select! {
                () = tokio::time::sleep(self.gateway.settings().peer_interval) => {}
                () = self.wanted.notified() => {}
                _ = changes.changed() => {}
            }
        }
    }

    fn report(&self) -> RouterState {
        let gateway = &self.gateway;
        let now = gateway.now();
        let mut board = gateway.board();
        let notes = board.take_notes();
        let replicas = board.reports(now);
        drop(board);
        let accounts = gateway.shares().own(now).clone();
        RouterState {
            address: gateway.settings().peers,
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            leaving: gateway.is_stopping(),
            version: gateway.catalog.version(),
            replicas,
            accounts: accounts.into_iter().collect(),
            notes,
            routers: gateway.peers.heard(now, gateway.settings().peer_forget),
        }
    }

    /// Connects to routers as they become known, and forgets silent ones.
    async fn follow_routers(self: Arc<Self>) {
        let mut dialled = HashSet::new();
        let pause = self.gateway.settings().peer_interval * 2;
        loop {
            let now = self.gateway.now();
            let peers = &self.gateway.peers;
            peers.forget_silent(now, self.gateway.settings().peer_forget);
            let known: HashSet<_> = peers.addresses().into_iter().collect();
            dialled.retain(|address| known.contains(address));
            for address in known {
                if dialled.insert(address) {
                    tokio::spawn(keep_peer(self.clone(), address));
                }
            }
            let alive = peers.alive(now, self.gateway.settings().peer_age);
            metrics::gauge!(PEERS).set(alive as f64);
            tokio::time::sleep(pause).await;
        }
    }
}

/// A number for one life of a router.
fn peer_key(state: &RouterState) -> u64 {
    replica_key(&state.address.to_string())
}
