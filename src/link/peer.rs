use {
    crate::{
        codes::Fault,
        fleet::{HostRole, Revision},
        keys::PeerName,
        policy::Incarnation,
        wire::{StreamOpen, encode_frame},
    },
    quinn::{Connection, RecvStream, SendStream},
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    tokio::sync::mpsc,
};

/// One connection to another process of the fleet.
pub struct Peer {
    pub name: PeerName, // from the peer's certificate
    pub host: Arc<str>,
    pub incarnation: Incarnation,
    pub leaving: bool,          // as of the first message
    pub config_confirmed: bool, // whether it had asked its peers for the newest configuration
    connection: Connection,
    outgoing: mpsc::Sender<Vec<u8>>, // encoded control messages
    revision: AtomicU64,             // of the peer's configuration, as last received
}

impl Peer {
    pub(super) fn new(
        name: PeerName,
        incarnation: Incarnation,
        leaving: bool,
        config_confirmed: bool,
        connection: Connection,
        outgoing: mpsc::Sender<Vec<u8>>,
    ) -> Self {
        Self {
            host: name.host.as_str().into(),
            name,
            incarnation,
            leaving,
            config_confirmed,
            connection,
            outgoing,
            revision: AtomicU64::new(0),
        }
    }

    /// The peer's role in the fleet.
    pub fn role(&self) -> HostRole {
        self.name.role
    }

    /// Whether the connection is open, as far as this end knows.
    pub fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    /// Closes the connection. The peer logs the reason.
    pub fn close(
        &self,
        reason: &str,
    ) {
        self.connection.close(0u32.into(), reason.as_bytes());
    }

    /// The configuration revision that the peer last reported as in force.
    pub fn revision(&self) -> Revision {
        Revision(self.revision.load(Ordering::Relaxed))
    }

    pub(super) fn set_revision(
        &self,
        revision: Revision,
    ) {
        self.revision.store(revision.0, Ordering::Relaxed);
    }

    /// Bytes sent on this connection, including requests and protocol overhead.
    pub fn sent_bytes(&self) -> u64 {
        self.connection.stats().udp_tx.bytes
    }

    /// Queues an encoded control message. Closes the connection if the queue is full: a peer
    /// that lags so far would act on outdated state.
    pub(super) fn queue(
        &self,
        frame: Vec<u8>,
    ) {
        if self.outgoing.try_send(frame).is_err() {
            self.close("does not keep up");
        }
    }

    /// Opens a stream and sends its first frame. Fails with `PeerUnreachable`.
    pub async fn open(
        &self,
        open: &StreamOpen,
    ) -> Result<(SendStream, RecvStream), Fault> {
        let frame = encode_frame(open).map_err(Fault::unreachable)?;
        let (mut send, recv) = self
            .connection
            .open_bi()
            .await
            .map_err(Fault::unreachable)?;
        send.write_all(&frame).await.map_err(Fault::unreachable)?;
        Ok((send, recv))
    }
}
