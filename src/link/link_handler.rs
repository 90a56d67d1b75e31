use {
    super::Peer,
    crate::wire::{ControlMessage, Envelope, StreamOpen},
    quinn::{RecvStream, SendStream},
    std::sync::Arc,
};

/// Handles the events of a process's connections.
///
/// `on_connect`, `on_message` and `on_disconnect` run on the connection's task and must not
/// block. Each stream is handled on its own task.
pub trait LinkHandler: Send + Sync + 'static {
    /// Adds revision and digest of the configuration in force to a message.
    fn envelope(
        &self,
        message: ControlMessage,
    ) -> Envelope;

    /// The first message to send on each connection.
    fn hello(&self) -> ControlMessage;

    /// A peer sent its first message on a new connection. False refuses the connection.
    fn on_connect(
        &self,
        peer: &Arc<Peer>,
    ) -> bool;

    /// A control message arrived.
    fn on_message(
        &self,
        peer: &Arc<Peer>,
        envelope: Envelope,
    );

    /// A connection ended. `last` is set if the peer has no other connection.
    fn on_disconnect(
        &self,
        peer: &Arc<Peer>,
        last: bool,
    );

    /// A peer opened a stream.
    fn on_stream(
        self: Arc<Self>,
        peer: Arc<Peer>,
        open: StreamOpen,
        send: SendStream,
        recv: RecvStream,
    ) -> impl Future<Output = ()> + Send;
}
