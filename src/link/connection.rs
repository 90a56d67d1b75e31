//! One connection from its handshake to its end: control messages and streams.

use {
    super::{Link, LinkHandler, Peer, traffic_watch::TrafficWatch},
    crate::{
        codes::{Fault, ResultCode},
        keys::{PeerName, peer_name},
        wire::{ControlMessage, Envelope, StreamOpen, encode_frame, read_frame},
    },
    quinn::{Connection, RecvStream, SendStream},
    rustls::pki_types::CertificateDer,
    std::sync::{Arc, atomic::Ordering},
    tokio::sync::mpsc,
};

/// The most control messages queued for one peer. A peer that exceeds it is disconnected.
const MAX_QUEUED_MESSAGES: usize = 8192;

impl<H: LinkHandler> Link<H> {
    /// Serves one connection, incoming or outgoing, until it ends.
    pub(super) async fn run_connection(
        self: Arc<Self>,
        connection: Connection,
    ) -> Result<(), Fault> {
        let name = verified_peer_name(&connection).ok_or_else(|| {
            Fault::new(
                ResultCode::PeerRefused,
                "the certificate names no process of the fleet",
            )
        })?;
        let (outgoing, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let hello_envelope = self.handler.envelope(self.handler.hello());
        let announced_revision = hello_envelope.revision;
        let hello = encode_frame(&hello_envelope).map_err(Fault::unreachable)?;
        let control = connection.open_uni().await.map_err(Fault::unreachable)?;
        tokio::spawn(write_control_stream(control, hello, queue));
        let mut incoming = connection.accept_uni().await.map_err(Fault::unreachable)?;
        let peer = self
            .handshake(&connection, name, outgoing, &mut incoming)
            .await?;
        // A revision that came into force before the peer was registered was not announced to it.
        if self.handler.envelope(ControlMessage::NewRevision).revision != announced_revision {
            self.send(&peer, ControlMessage::NewRevision);
        }
        let mut traffic = TrafficWatch::new(connection.clone());
        let outcome = tokio::select! {
            outcome = self.serve_peer(&peer, &connection, &mut incoming) => outcome,
            never = traffic.run() => never,
        };
        let reason = connection.close_reason().map(|reason| reason.to_string());
        let cause = outcome.as_ref().err().map(|error| error.to_string());
        log::info!(
            peer = &*peer.host, round_trip_ms = connection.rtt().as_millis() as u64,
            lost_packets = connection.stats().path.lost_packets,
            silent_ms = traffic.silent_for().as_millis() as u64,
            unsent_ms = traffic.unsent_for().as_millis() as u64,
            late_ms = traffic.max_lateness.as_millis() as u64,
            cause = cause.as_deref().unwrap_or("");
            "connection to a process of the fleet ended: {}",
            reason.as_deref().unwrap_or("its control stream ended")
        );
        self.unregister(&peer);
        outcome
    }

    async fn handshake(
        &self,
        connection: &Connection,
        name: PeerName,
        outgoing: mpsc::Sender<Vec<u8>>,
        incoming: &mut RecvStream,
    ) -> Result<Arc<Peer>, Fault> {
        let envelope: Envelope = read_frame(incoming)
            .await?
            .ok_or_else(|| Fault::unreachable("connection closed before its first message"))?;
        let ControlMessage::Hello {
            role,
            incarnation,
            leaving,
            config_confirmed,
        } = envelope.message
        else {
            return Err(Fault::new(
                ResultCode::FrameMalformed,
                "the first message is not a hello",
            ));
        };
        if role != name.role {
            connection.close(1u32.into(), b"wrong role");
            return Err(Fault::new(
                ResultCode::PeerRefused,
                "the certificate is for another role",
            ));
        }
        let peer = Peer::new(
            name,
            incarnation,
            leaving,
            config_confirmed,
            connection.clone(),
            outgoing,
        );
        peer.set_revision(envelope.revision);
        let peer = Arc::new(peer);
        self.register(&peer);
        if !self.handler.on_connect(&peer) {
            self.unregister(&peer);
            peer.close("an earlier life");
            return Err(Fault::new(
                ResultCode::PeerRefused,
                "the peer has an older incarnation than one already known",
            ));
        }
        self.handler.on_message(&peer, envelope);
        Ok(peer)
    }

    async fn serve_peer(
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
                    Ok(None) => return Err(Fault::unreachable("control stream closed")),
                    Err(error) => return Err(error),
                };
                peer.set_revision(envelope.revision);
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
        self.closed_connections_sent_bytes
            .fetch_add(peer.sent_bytes(), Ordering::Relaxed);
        self.handler.on_disconnect(peer, last);
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

async fn write_control_stream(
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

fn verified_peer_name(connection: &Connection) -> Option<PeerName> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    peer_name(&chain)
}
