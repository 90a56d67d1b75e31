use {
    super::{
        RouterReport, ToldReports, ask_news::ask_news, news_port::serve_news,
        own_certificate::quic_configs,
    },
    crate::{
        codes::{Fault, ResultCode},
        direct::Gateway,
        ops::{CONTROL_BYTES, PEERS, Uptime},
        policy::placement::replica_key,
        wire::{decode_payload, encode_payload},
    },
    quinn::Endpoint,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::net::UdpSocket,
};

/// The largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 4096;

/// The shortest time between two reports.
const LEAST_PAUSE: Duration = Duration::from_millis(10);

/// Datagrams a second that one router sends at most for its regular reports:
/// where there are many routers, each is told less often.
const DATAGRAMS_PER_SECOND: f64 = 200.0;

/// Datagrams a second that it sends at most while its reports are urgent.
const URGENT_DATAGRAMS_PER_SECOND: f64 = 1500.0;

/// What did not change is told again after this part of the age at which peers
/// stop believing it.
const REFRESH_SHARE: f32 = 0.5;

/// How long this router may be behind a peer before it asks it for news: the
/// store tells most changes by then.
const PATIENCE: Duration = Duration::from_millis(500);

/// How often it looks whether it is behind.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// This router's end of what routers tell each other: reports by datagrams,
/// and news of the catalog over QUIC when one is behind.
pub struct PeerLink {
    gateway: Arc<Gateway>,
    endpoint: Endpoint,
    news: SocketAddr, // where the endpoint listens
    socket: UdpSocket,
    incarnation: u64,
    sequence: AtomicU64,
    told: Mutex<ToldReports>, // a leaf lock
}

impl PeerLink {
    /// Binds the addresses for peers: code 93.
    pub async fn bind(gateway: Arc<Gateway>) -> Result<Arc<Self>, Fault> {
        let failed = |error: std::io::Error| Fault::new(ResultCode::StartFailed, error);
        let settings = gateway.settings();
        let (server, client) = quic_configs()?;
        let mut endpoint = Endpoint::server(server, settings.news).map_err(failed)?;
        endpoint.set_default_client_config(client);
        let socket = UdpSocket::bind(settings.peers).await.map_err(failed)?;
        Ok(Arc::new(Self {
            endpoint,
            news: settings.news,
            socket,
            incarnation: Uptime::unix_millis(),
            sequence: AtomicU64::new(0),
            told: Mutex::default(),
            gateway,
        }))
    }

    /// Starts to tell, to listen, and to answer and ask for news.
    pub fn start(self: Arc<Self>) {
        tokio::spawn(serve_news(
            self.endpoint.clone(),
            self.gateway.catalog.clone(),
        ));
        tokio::spawn(self.clone().listen());
        tokio::spawn(self.clone().catch_up());
        tokio::spawn(self.tell());
    }

    async fn listen(self: Arc<Self>) {
        let mut datagram = vec![0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut datagram).await {
                Ok((length, from)) => match decode_payload(&datagram[..length]) {
                    Ok(report) => self.take(from, report),
                    Err(error) => {
                        log::debug!(code = error.code.number(); "report refused: {error}");
                    }
                },
                Err(error) => {
                    log::debug!("no datagram: {error}");
                    tokio::time::sleep(LEAST_PAUSE).await;
                }
            }
        }
    }

    /// Takes in what a peer reports. It is known by the address it sends from.
    fn take(
        &self,
        from: SocketAddr,
        report: RouterReport,
    ) {
        let gateway = &self.gateway;
        let now = gateway.now();
        if from != report.address || !gateway.peers.hear(now, &report) {
            return;
        }
        gateway.peers.learn(now, &report.routers);
        let peer = replica_key(&report.address.to_string());
        let mut board = gateway.board();
        board.hear(now, peer, &report.replicas);
        for note in &report.notes {
            if let Some(view) = board.by_key(note.replica) {
                view.cache.note(note.part);
            }
        }
        board.hear_engines(&report.engines);
        drop(board);
        gateway.shares().hear(now, peer, &report.accounts);
    }

    /// Sends reports at their pace, and soon after the catalog changes.
    async fn tell(self: Arc<Self>) {
        let mut changes = self.gateway.catalog.subscribe();
        loop {
            let now = self.gateway.now();
            let settings = self.gateway.settings();
            let peers = &self.gateway.peers;
            peers.forget_silent(now, settings.peer_forget);
            metrics::gauge!(PEERS).set(peers.alive(now, settings.peer_forget) as f64);
            let addresses = peers.addresses();
            self.send_reports(&addresses).await;
            let least =
                Duration::from_secs_f64(addresses.len() as f64 / URGENT_DATAGRAMS_PER_SECOND);
            tokio::time::sleep(LEAST_PAUSE.max(least)).await;
            let paced = Duration::from_secs_f64(addresses.len() as f64 / DATAGRAMS_PER_SECOND);
            let pace = settings.peer_interval.max(paced);
            let routers = self.gateway.router_count();
            let belief_age = {
                let mut board = self.gateway.board();
                board.set_reports(pace, routers);
                board.belief_age()
            };
            self.gateway.shares().set_peer_age(belief_age);
            tokio::select! {
                () = tokio::time::sleep(pace) => {}
                () = self.gateway.report_wanted.notified() => {}
                _ = changes.changed() => {}
            }
        }
    }

    async fn send_reports(
        &self,
        addresses: &[SocketAddr],
    ) {
        for report in self.report().cut() {
            let datagram = match encode_payload(&report) {
                Ok(datagram) => datagram,
                Err(error) => {
                    log::error!(code = error.code.number(); "no report: {error}");
                    continue;
                }
            };
            let bytes = (datagram.len() * addresses.len()) as u64;
            metrics::counter!(CONTROL_BYTES, "kind" => "report").increment(bytes);
            for address in addresses {
                if let Err(error) = self.socket.send_to(&datagram, address).await {
                    log::trace!("report to {address} not sent: {error}");
                }
            }
        }
    }

    fn report(&self) -> RouterReport {
        let gateway = &self.gateway;
        let settings = gateway.settings();
        let now = gateway.now();
        let refresh = settings.peer_age.mul_f32(REFRESH_SHARE);
        let mut board = gateway.board();
        let notes = board.take_notes();
        let replicas = board.reports(now);
        let engines = board.engine_reports();
        drop(board);
        let usage = gateway.shares().own(now).clone();
        let mut told = self.told.lock().expect("told lock");
        let (routers, engines) = if told.routers_due(now, settings.peer_age) {
            (gateway.peers.heard(now, settings.peer_forget), engines)
        } else {
            (Vec::new(), Vec::new())
        };
        RouterReport {
            address: settings.peers,
            news: self.news,
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            leaving: gateway.is_stopping(),
            busy: gateway.busy_percent(),
            version: gateway.catalog.version(),
            replicas: told.replicas(now, refresh, replicas),
            accounts: told.accounts(now, refresh, settings.share_window, &usage),
            notes: told.notes(now, settings.peer_age, notes),
            engines,
            routers,
        }
    }

    /// Asks a peer that is ahead for its news, once the store had its time to
    /// tell them.
    async fn catch_up(self: Arc<Self>) {
        let mut behind_since = None;
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let now = self.gateway.now();
            let ours = self.gateway.catalog.version();
            let Some(ahead) = self.gateway.peers.ahead_of(ours) else {
                behind_since = None;
                continue;
            };
            let since = *behind_since.get_or_insert(now);
            let waits = ours.config > 0 && ours.upstreams > 0;
            if waits && now.saturating_sub(since) < PATIENCE {
                continue;
            }
            behind_since = None;
            if let Err(error) = self.fetch(ahead).await {
                log::debug!(code = error.code.number(); "no news from {ahead}: {error}");
            }
        }
    }

    async fn fetch(
        &self,
        address: SocketAddr,
    ) -> Result<(), Fault> {
        let catalog = &self.gateway.catalog;
        let news = ask_news(&self.endpoint, address, catalog.version()).await?;
        let from = address.to_string();
        if let Some(text) = &news.config {
            catalog.offer_config(text, &from)?;
        }
        catalog.offer_records(news.records, news.upstreams_at, &from);
        Ok(())
    }
}
