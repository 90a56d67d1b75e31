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

/// One connection to a process of the fleet.
pub struct Peer {
    pub name: PeerName, // from its certificate
    pub host: Arc<str>,
    pub incarnation: Incarnation,
    pub leaving: bool, // as it said in its first message
    pub settled: bool, // knew the newest configuration by its own word then
    connection: Connection,
    outgoing: mpsc::Sender<Vec<u8>>, // encoded control messages
    revision: AtomicU64,             // of its configuration, last heard
}

impl Peer {
    pub(super) fn new(
        name: PeerName,
        incarnation: Incarnation,
        leaving: bool,
        settled: bool,
        connection: Connection,
        outgoing: mpsc::Sender<Vec<u8>>,
    ) -> Self {
        Self {
            host: name.host.as_str().into(),
            name,
            incarnation,
            leaving,
            settled,
            connection,
            outgoing,
            revision: AtomicU64::new(0),
        }
    }

    /// What the peer runs.
    pub fn role(&self) -> HostRole {
        self.name.role
    }

    /// Whether the connection still stands, as far as this end knows.
    pub fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    /// Ends the connection.
    pub fn close(
        &self,
        why: &str,
    ) {
        self.connection.close(0u32.into(), why.as_bytes());
    }

    /// The revision the peer last said it has in force.
    pub fn revision(&self) -> Revision {
        Revision(self.revision.load(Ordering::Relaxed))
    }

    pub(super) fn heard_revision(
        &self,
        revision: Revision,
    ) {
        self.revision.store(revision.0, Ordering::Relaxed);
    }

    /// Bytes sent on this connection, requests and all.
    pub fn sent_bytes(&self) -> u64 {
        self.connection.stats().udp_tx.bytes
    }

    /// Queues an encoded control message. A peer that does not keep up is cut
    /// off, since it would act on an old view.
    pub(super) fn queue(
        &self,
        frame: Vec<u8>,
    ) {
        if self.outgoing.try_send(frame).is_err() {
            self.close("does not keep up");
        }
    }

    /// Opens a stream and says what it is for: code 74.
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
