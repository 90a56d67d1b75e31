use {
    super::{
        EvidenceTurn, PeerMessage, ToldReports, ZoneTable, ask_news::connect,
        news_port::serve_news, own_certificate::quic_configs, tell_leaving::LeavingTimes,
        tell_suspects::SuspectTimes,
    },
    crate::{
        codes::{Fault, ResultCode},
        direct::Gateway,
        ops::{CONTROL_BYTES, Uptime},
        policy::stable_hash,
        wire::encode_payload,
    },
    quinn::{Connection, Endpoint},
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::UdpSocket, sync::Notify},
};

/// A zone or router that said nothing for this long no longer speaks for its
/// zone: some ten reports, so that lost datagrams change nothing.
pub const SILENCE: Duration = Duration::from_millis(800);

/// This router's end of what routers tell each other: reports and sums by
/// datagrams, and news of the catalog over QUIC when one is behind.
pub struct PeerLink {
    pub(super) gateway: Arc<Gateway>,
    pub(super) endpoint: Endpoint,
    pub(super) news: SocketAddr, // where the endpoint listens
    pub(super) socket: UdpSocket,
    pub(super) incarnation: u64,
    pub(super) told: Mutex<TellState>, // a leaf lock
    pub(super) newer_heard: Notify,    // another router has a newer catalog
    sequence: AtomicU64,
    asked: Mutex<Option<(SocketAddr, Connection)>>, // for news, the last time; a leaf lock
}

/// What was told before, so that only what changed is told.
#[derive(Default)]
pub(super) struct TellState {
    pub zone: ToldReports,                 // to routers of the own zone
    pub sums: HashMap<u32, ToldReports>,   // to other zones, while this router speaks to them
    pub suspects: SuspectTimes,            // in the own zone, also by others
    pub zone_suspects: SuspectTimes,       // to other zones
    pub leaving: LeavingTimes,             // in the own zone
    pub evidence: EvidenceTurn,            // in the own zone
    pub kept_fellows: HashSet<SocketAddr>, // heard of when it was last told what is kept
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
            newer_heard: Notify::new(),
            asked: Mutex::default(),
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
        tokio::spawn(self.clone().ask_names());
        tokio::spawn(self.clone().catch_up());
        tokio::spawn(self.tell());
    }

    /// The router that was last asked for its news.
    pub(super) fn last_asked(&self) -> Option<SocketAddr> {
        let asked = self.asked.lock().expect("asked lock");
        asked.as_ref().map(|(address, _)| *address)
    }

    /// The router that was last asked did not answer.
    pub(super) fn forget_asked(&self) {
        *self.asked.lock().expect("asked lock") = None;
    }

    /// A connection to a router that is asked for its news; the last one as long as
    /// it lasts, which spares the handshakes while changes come one after another.
    pub(super) async fn connection_to(
        &self,
        address: SocketAddr,
    ) -> Result<Connection, Fault> {
        let known = self.asked.lock().expect("asked lock").clone();
        let usable = known
            .filter(|(asked, connection)| *asked == address && connection.close_reason().is_none());
        if let Some((_, connection)) = usable {
            return Ok(connection);
        }
        let connection = connect(&self.endpoint, address).await?;
        let made = Some((address, connection.clone()));
        *self.asked.lock().expect("asked lock") = made;
        Ok(connection)
    }

    /// The other zones.
    pub(super) fn zones(&self) -> &ZoneTable {
        &self.gateway.zones
    }

    /// The number of the next datagram that replaces earlier ones.
    pub(super) fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Sends one message to some routers. What cannot be sent is lost: the next one
    /// says the same.
    pub(super) async fn send(
        &self,
        message: &PeerMessage,
        addresses: &[SocketAddr],
    ) {
        match encode_payload(message) {
            Ok(datagram) => {
                self.send_datagram(&datagram, message.kind(), addresses)
                    .await
            }
            Err(error) => {
                log::error!(code = error.code.number(); "no datagram: {error}");
            }
        }
    }

    /// Sends one datagram to some routers.
    pub(super) async fn send_datagram(
        &self,
        datagram: &[u8],
        kind: &'static str,
        addresses: &[SocketAddr],
    ) {
        let bytes = (datagram.len() * addresses.len()) as u64;
        metrics::counter!(CONTROL_BYTES, "kind" => kind).increment(bytes);
        for address in addresses {
            if let Err(error) = self.socket.send_to(datagram, address).await {
                log::trace!("{kind} to {address} not sent: {error}");
            }
        }
    }
}

/// A short name of a router for the tables of what was told.
pub(super) fn router_name(address: &SocketAddr) -> u32 {
    stable_hash(address) as u32
}
