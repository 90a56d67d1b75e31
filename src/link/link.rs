use {
    super::{ByteCounters, DialTarget, LinkHandler, Peer},
    crate::{
        codes::{Fault, ResultCode},
        conf::LinkSettings,
        fleet::HostRole,
        keys::{Identity, PeerName, peer_name},
        wire::{ControlMessage, Envelope, StreamOpen, encode_frame, read_frame},
    },
    quinn::{
        ClientConfig, Connection, Endpoint, RecvStream, SendStream, ServerConfig, TransportConfig,
        VarInt,
        crypto::rustls::{QuicClientConfig, QuicServerConfig},
    },
    rustls::pki_types::CertificateDer,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::sync::mpsc,
};

/// Control messages that may be queued for one peer.
const OUTGOING_BOUND: usize = 8192;

/// Control streams a peer may open: just the one.
const CONTROL_STREAMS: u32 = 1;

/// A process's end of all its connections to the fleet.
pub struct Link<H> {
    endpoint: Endpoint,
    handler: Arc<H>,
    peers: Mutex<HashMap<String, Vec<Arc<Peer>>>>, // by host, newest last; a leaf lock
    counters: ByteCounters,
    closed_bytes: AtomicU64, // sent on connections that have ended
}

impl<H: LinkHandler> Link<H> {
    /// Binds the address: code 93.
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
        let mut endpoint =
            Endpoint::server(server, settings.listen).map_err(|error| failed(&error))?;
        endpoint.set_default_client_config(client);
        Ok(Arc::new(Self {
            endpoint,
            handler,
            peers: Mutex::default(),
            counters: ByteCounters::default(),
            closed_bytes: AtomicU64::new(0),
        }))
    }

    /// The bound address.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.endpoint.local_addr().ok()
    }

    /// Accepts connections until the endpoint closes.
    pub async fn accept(self: Arc<Self>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let link = self.clone();
            tokio::spawn(async move {
                let outcome = match incoming.await {
                    Ok(connection) => link.run(connection).await,
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
        self.clone().run(connection).await
    }

    /// The newest open connection to a host.
    pub fn peer(
        &self,
        host: &str,
    ) -> Option<Arc<Peer>> {
        let peers = self.peers.lock().expect("peer lock");
        let connections = peers.get(host)?;
        connections.iter().rev().find(|p| p.is_open()).cloned()
    }

    /// One open connection for each connected host of a role.
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
            Err(error) => log::error!(code = error.code.number(); "{kind} not sent: {error}"),
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

    /// Control bytes sent, by kind.
    pub fn counters(&self) -> &ByteCounters {
        &self.counters
    }

    /// Bytes sent on all connections so far.
    pub fn sent_bytes(&self) -> u64 {
        let peers = self.peers.lock().expect("peer lock");
        let open: u64 = peers.values().flatten().map(|p| p.sent_bytes()).sum();
        open + self.closed_bytes.load(Ordering::Relaxed)
    }

    /// Ends all connections once what was queued has gone out.
    pub async fn close(&self) {
        self.endpoint.close(0u32.into(), b"stopping");
        self.endpoint.wait_idle().await;
    }

    async fn run(
        self: Arc<Self>,
        connection: Connection,
    ) -> Result<(), Fault> {
        let name = verified_name(&connection)
            .ok_or_else(|| Fault::new(ResultCode::PeerRefused, "no name of the fleet"))?;
        let (outgoing, queue) = mpsc::channel(OUTGOING_BOUND);
        let hello = encode_frame(&self.handler.envelope(self.handler.hello()))
            .map_err(Fault::unreachable)?;
        let control = connection.open_uni().await.map_err(Fault::unreachable)?;
        tokio::spawn(write_control(control, hello, queue));
        let mut incoming = connection.accept_uni().await.map_err(Fault::unreachable)?;
        let peer = self
            .greet(&connection, name, outgoing, &mut incoming)
            .await?;
        let outcome = self.serve(&peer, &connection, &mut incoming).await;
        self.unregister(&peer);
        outcome
    }

    async fn greet(
        &self,
        connection: &Connection,
        name: PeerName,
        outgoing: mpsc::Sender<Vec<u8>>,
        incoming: &mut RecvStream,
    ) -> Result<Arc<Peer>, Fault> {
        let envelope: Envelope = read_frame(incoming)
            .await?
            .ok_or_else(|| Fault::unreachable("closed before its first message"))?;
        let ControlMessage::Hello {
            role,
            incarnation,
            leaving,
        } = envelope.message
        else {
            return Err(Fault::new(ResultCode::FrameMalformed, "no greeting"));
        };
        if role != name.role {
            connection.close(1u32.into(), b"wrong role");
            return Err(Fault::new(ResultCode::PeerRefused, "wrong role"));
        }
        let peer = Peer::new(name, incarnation, leaving, connection.clone(), outgoing);
        peer.heard_revision(envelope.revision);
        let peer = Arc::new(peer);
        self.register(&peer);
        if !self.handler.on_up(&peer) {
            self.unregister(&peer);
            peer.close("an earlier life");
            return Err(Fault::new(ResultCode::PeerRefused, "an earlier life"));
        }
        self.handler.on_message(&peer, envelope);
        Ok(peer)
    }

    async fn serve(
        &self,
        peer: &Arc<Peer>,
        connection: &Connection,
        incoming: &mut RecvStream,
    ) -> Result<(), Fault> {
        let streams = self.accept_streams(peer, connection);
        let messages = async {
            loop {
                let envelope: Envelope = match read_frame(incoming).await {
                    Ok(Some(envelope)) => envelope,
                    Ok(None) => return Err(Fault::unreachable("closed")),
                    Err(error) => return Err(error),
                };
                peer.heard_revision(envelope.revision);
                self.handler.on_message(peer, envelope);
            }
        };
        let outcome = tokio::select! {
            outcome = messages => outcome,
            error = streams => Err(error),
        };
        peer.close("done");
        outcome
    }

    async fn accept_streams(
        &self,
        peer: &Arc<Peer>,
        connection: &Connection,
    ) -> Fault {
        loop {
            match connection.accept_bi().await {
                Ok((send, recv)) => {
                    tokio::spawn(serve_stream(self.handler.clone(), peer.clone(), send, recv));
                }
                Err(error) => return Fault::unreachable(error),
            }
        }
    }

    fn register(
        &self,
        peer: &Arc<Peer>,
    ) {
        let mut peers = self.peers.lock().expect("peer lock");
        let connections = peers.entry(peer.name.host.clone()).or_default();
        for older in connections.iter() {
            if older.incarnation < peer.incarnation {
                older.close("a later life is here");
            }
        }
        connections.push(peer.clone());
    }

    fn unregister(
        &self,
        peer: &Arc<Peer>,
    ) {
        let last = {
            let mut peers = self.peers.lock().expect("peer lock");
            let Some(connections) = peers.get_mut(&peer.name.host) else {
                return;
            };
            let before = connections.len();
            connections.retain(|known| !Arc::ptr_eq(known, peer));
            if connections.len() == before {
                return;
            }
            let last = connections.is_empty();
            if last {
                peers.remove(&peer.name.host);
            }
            last
        };
        self.closed_bytes
            .fetch_add(peer.sent_bytes(), Ordering::Relaxed);
        self.handler.on_down(peer, last);
    }
}

async fn serve_stream<H: LinkHandler>(
    handler: Arc<H>,
    peer: Arc<Peer>,
    send: SendStream,
    mut recv: RecvStream,
) {
    match read_frame::<StreamOpen, _>(&mut recv).await {
        Ok(Some(open)) => handler.on_stream(peer, open, send, recv).await,
        Ok(None) => {}
        Err(error) => {
            log::warn!(code = error.code.number(), peer = &*peer.host; "stream refused: {error}");
        }
    }
}

async fn write_control(
    mut control: SendStream,
    hello: Vec<u8>,
    mut queue: mpsc::Receiver<Vec<u8>>,
) {
    if control.write_all(&hello).await.is_err() {
        return;
    }
    while let Some(mut batch) = queue.recv().await {
        while let Ok(frame) = queue.try_recv() {
            batch.extend_from_slice(&frame);
        }
        if control.write_all(&batch).await.is_err() {
            return;
        }
    }
}

fn transport(settings: &LinkSettings) -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(settings.idle_timeout.try_into().ok())
        .keep_alive_interval(Some(settings.keep_alive))
        .max_concurrent_uni_streams(VarInt::from_u32(CONTROL_STREAMS))
        .max_concurrent_bidi_streams(VarInt::from_u32(settings.max_exchanges));
    transport
}

fn verified_name(connection: &Connection) -> Option<PeerName> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    peer_name(&chain)
}
