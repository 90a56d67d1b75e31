use {
    super::{ByteCounters, DialTarget, LinkHandler, Peer},
    crate::{
        codes::{Fault, ResultCode},
        conf::LinkSettings,
        fleet::HostRole,
        keys::Identity,
        wire::{ControlMessage, encode_frame},
    },
    quinn::{
        ClientConfig, Endpoint, EndpointConfig, ServerConfig, TokioRuntime, TransportConfig,
        VarInt,
        crypto::rustls::{QuicClientConfig, QuicServerConfig},
    },
    socket2::SockRef,
    std::{
        collections::HashMap,
        io,
        net::{SocketAddr, UdpSocket},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
    },
};

/// Control streams that a peer may open on one connection.
const MAX_CONTROL_STREAMS: u32 = 1;

/// The QUIC endpoint of a process, with its connections to other processes of the fleet.
pub struct Link<H> {
    endpoint: Endpoint,
    pub(super) handler: Arc<H>,
    pub(super) peers: Mutex<HashMap<String, Vec<Arc<Peer>>>>, // by host, newest last; leaf lock
    counters: ByteCounters,
    pub(super) closed_connections_sent_bytes: AtomicU64, // sent on connections that have ended
}

impl<H: LinkHandler> Link<H> {
    /// Binds the listening address. Fails with `StartFailed`.
    pub fn bind(
        settings: &LinkSettings,
        identity: &Identity,
        handler: Arc<H>,
    ) -> Result<Arc<Self>, Fault> {
        let failed = |error: &dyn std::fmt::Display| Fault::new(ResultCode::StartFailed, error);
        let transport = Arc::new(transport(settings));
        let tls = identity.server_config().map_err(|e| failed(&e))?;
        let tls = QuicServerConfig::try_from(tls).map_err(|e| failed(&e))?;
        let mut server = ServerConfig::with_crypto(Arc::new(tls));
        server.transport_config(transport.clone());
        let tls = identity.client_config().map_err(|e| failed(&e))?;
        let tls = QuicClientConfig::try_from(tls).map_err(|e| failed(&e))?;
        let mut client = ClientConfig::new(Arc::new(tls));
        client.transport_config(transport);
        let socket = link_socket(settings.listen).map_err(|error| failed(&error))?;
        let runtime = Arc::new(TokioRuntime);
        let mut endpoint = Endpoint::new(EndpointConfig::default(), Some(server), socket, runtime)
            .map_err(|error| failed(&error))?;
        endpoint.set_default_client_config(client);
        Ok(Arc::new(Self {
            endpoint,
            handler,
            peers: Mutex::default(),
            counters: ByteCounters::default(),
            closed_connections_sent_bytes: AtomicU64::new(0),
        }))
    }

    /// The address that the endpoint is bound to.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.endpoint.local_addr().ok()
    }

    /// Accepts connections until the endpoint closes.
    pub async fn accept(self: Arc<Self>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let link = self.clone();
            tokio::spawn(async move {
                let outcome = match incoming.await {
                    Ok(connection) => link.run_connection(connection).await,
                    Err(error) => Err(Fault::new(ResultCode::PeerRefused, error)),
                };
                if let Err(error) = outcome {
                    log::debug!(code = error.code.number(); "incoming connection: {error}");
                }
            });
        }
    }

    /// Connects to a peer and serves the connection until it ends.
    pub async fn dial(
        self: &Arc<Self>,
        target: &DialTarget,
    ) -> Result<(), Fault> {
        let connection = self
            .endpoint
            .connect(target.address, &target.name.to_string())
            .map_err(Fault::unreachable)?
            .await
            .map_err(Fault::unreachable)?;
        self.clone().run_connection(connection).await
    }

    /// The newest open connection to a host, if there is one.
    pub fn peer(
        &self,
        host: &str,
    ) -> Option<Arc<Peer>> {
        let peers = self.peers.lock().expect("peer lock");
        let connections = peers.get(host)?;
        connections.iter().rev().find(|p| p.is_open()).cloned()
    }

    /// The newest open connection to each connected host of a role.
    pub fn peers(
        &self,
        role: HostRole,
    ) -> Vec<Arc<Peer>> {
        let peers = self.peers.lock().expect("peer lock");
        peers
            .values()
            .filter_map(|connections| connections.iter().rev().find(|p| p.is_open()))
            .filter(|peer| peer.role() == role)
            .cloned()
            .collect()
    }

    /// Sends a control message to one peer.
    pub fn send(
        &self,
        peer: &Peer,
        message: ControlMessage,
    ) {
        let kind = message.kind();
        match encode_frame(&self.handler.envelope(message)) {
            Ok(frame) => {
                self.counters.add(kind, frame.len());
                peer.queue(frame);
            }
            Err(error) => {
                log::error!(code = error.code.number(); "control message {kind} not sent: {error}")
            }
        }
    }

    /// Sends a control message to every connected host.
    pub fn send_to_all(
        &self,
        message: &ControlMessage,
    ) {
        for role in [HostRole::Router, HostRole::Sidecar] {
            for peer in self.peers(role) {
                self.send(&peer, message.clone());
            }
        }
    }

    /// Bytes of control messages sent, by message kind.
    pub fn counters(&self) -> &ByteCounters {
        &self.counters
    }

    /// Bytes sent on all connections so far, including requests and protocol overhead.
    pub fn sent_bytes(&self) -> u64 {
        let peers = self.peers.lock().expect("peer lock");
        let open: u64 = peers.values().flatten().map(|p| p.sent_bytes()).sum();
        open + self.closed_connections_sent_bytes.load(Ordering::Relaxed)
    }

    /// Closes all connections, and waits until the peers are notified.
    pub async fn close(&self) {
        self.endpoint.close(0u32.into(), b"stopping");
        self.endpoint.wait_idle().await;
    }
}

fn transport(settings: &LinkSettings) -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(settings.idle_timeout.try_into().ok())
        .keep_alive_interval(Some(settings.keep_alive))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_CONTROL_STREAMS))
        .max_concurrent_bidi_streams(VarInt::from_u32(settings.max_exchanges));
    transport
}

/// Receive buffer of the socket that all connections share; the kernel may grant less
/// (`net.core.rmem_max`). With the usual 212,992 bytes, a router that got no processor time
/// for about 100 ms lost 18 to 162 datagrams, and connections to it timed out.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// Binds the UDP socket that all connections of the process share.
fn link_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    Ok(socket)
}
