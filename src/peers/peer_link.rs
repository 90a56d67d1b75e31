use {
    super::{
        EvidenceSchedule, PeerMessage, SentReports, ZoneTable, fetch_update::connect,
        leaving_gossip::LeavingTimes, self_signed_certificate::quic_configs,
        suspects_gossip::SentSuspects, update_server::serve_updates,
    },
    crate::{
        codes::{Fault, ResultCode},
        direct::Gateway,
        ops::{CONTROL_BYTES, Uptime},
        policy::{Moment, stable_hash},
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

/// Silence after which a router or zone counts as down for the choice of zone
/// representatives, store readers and catalog sources. It spans some ten reports, so that
/// lost datagrams change nothing.
pub const PEER_SILENCE_LIMIT: Duration = Duration::from_millis(800);

/// This router's connections to other routers: a UDP socket for reports and summaries, and a
/// QUIC endpoint for catalog updates.
pub struct PeerLink {
    pub(super) gateway: Arc<Gateway>,
    pub(super) endpoint: Endpoint,
    pub(super) update_address: SocketAddr, // where the endpoint listens
    pub(super) socket: UdpSocket,
    pub(super) incarnation: u64, // start time of the process in Unix milliseconds
    pub(super) sent: Mutex<SentState>, // no other mutex is locked while it is held
    pub(super) newer_version: Notify, // a peer announced a newer catalog
    sequence: AtomicU64,
    /// The source of the last catalog update. No other mutex is locked while this is held.
    update_source: Mutex<Option<(SocketAddr, Connection)>>,
}

/// What was sent before, so that messages carry only what changed or is due again.
#[derive(Default)]
pub(super) struct SentState {
    pub own_zone: SentReports,                  // reports to the own zone
    pub summaries: HashMap<u32, SentReports>,   // by zone that this router represents its own to
    pub suspects: SentSuspects,                 // in the own zone, also by other routers
    pub zone_suspects: SentSuspects,            // to other zones
    pub leaving: LeavingTimes,                  // to the own zone
    pub eras: Option<Moment>,                   // when a message on eras was last sent
    pub evidence: EvidenceSchedule,             // to the own zone
    pub cache_event_peers: HashSet<SocketAddr>, // live when cache events were last sent
}

impl PeerLink {
    /// Binds the UDP and QUIC addresses. Fails with `StartFailed`.
    pub async fn bind(gateway: Arc<Gateway>) -> Result<Arc<Self>, Fault> {
        let failed = |error: std::io::Error| Fault::new(ResultCode::StartFailed, error);
        let settings = gateway.settings();
        let (server, client) = quic_configs()?;
        let mut endpoint = Endpoint::server(server, settings.update_listen).map_err(failed)?;
        endpoint.set_default_client_config(client);
        let socket = UdpSocket::bind(settings.peer_listen)
            .await
            .map_err(failed)?;
        Ok(Arc::new(Self {
            endpoint,
            update_address: settings.update_listen,
            socket,
            incarnation: Uptime::unix_millis(),
            sequence: AtomicU64::new(0),
            sent: Mutex::default(),
            newer_version: Notify::new(),
            update_source: Mutex::default(),
            gateway,
        }))
    }

    /// Spawns the tasks that send, receive, and exchange catalog updates.
    pub fn start(self: Arc<Self>) {
        tokio::spawn(serve_updates(
            self.endpoint.clone(),
            self.gateway.catalog.clone(),
        ));
        tokio::spawn(self.clone().receive());
        tokio::spawn(self.clone().discover());
        tokio::spawn(self.clone().catch_up());
        tokio::spawn(self.clone().send_stream_messages());
        tokio::spawn(self.send_regularly());
    }

    /// The router that last served a catalog update.
    pub(super) fn last_update_source(&self) -> Option<SocketAddr> {
        let source = self.update_source.lock().expect("update source lock");
        source.as_ref().map(|(address, _)| *address)
    }

    /// Drops the connection for catalog updates after its router failed to answer.
    pub(super) fn remove_update_source(&self) {
        *self.update_source.lock().expect("update source lock") = None;
    }

    /// A connection to a router for a catalog update. The last one is reused while it is
    /// open, which saves handshakes when changes follow each other closely.
    pub(super) async fn connection_to(
        &self,
        address: SocketAddr,
    ) -> Result<Connection, Fault> {
        let known = self
            .update_source
            .lock()
            .expect("update source lock")
            .clone();
        let usable = known.filter(|(source, connection)| {
            *source == address && connection.close_reason().is_none()
        });
        if let Some((_, connection)) = usable {
            return Ok(connection);
        }
        let connection = connect(&self.endpoint, address).await?;
        let made = Some((address, connection.clone()));
        *self.update_source.lock().expect("update source lock") = made;
        Ok(connection)
    }

    pub(super) fn zones(&self) -> &ZoneTable {
        &self.gateway.zones
    }

    /// Sequence number of the next report or summary.
    pub(super) fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Sends a message to each address. Failures are only logged: the next message carries
    /// the same state.
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
                log::error!(code = error.code.number(); "cannot encode a datagram: {error}");
            }
        }
    }

    /// Sends an encoded datagram to each address; `kind` is its label in metrics and logs.
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

/// A `u32` hash that identifies a router in the tables of reported loads and usage.
pub(super) fn router_hash(address: &SocketAddr) -> u32 {
    stable_hash(address) as u32
}
