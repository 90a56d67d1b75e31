use {
    super::Peer,
    crate::wire::{ControlMessage, Envelope, StreamOpen},
    quinn::{RecvStream, SendStream},
    std::sync::Arc,
};

/// What a process does with its connections.
///
/// The methods for messages run on the connection's task and must not block;
/// streams get a task each.
pub trait LinkHandler: Send + Sync + 'static {
    /// Stamps a message with the configuration in force.
    fn envelope(
        &self,
        message: ControlMessage,
    ) -> Envelope;

    /// The first message on each connection.
    fn hello(&self) -> ControlMessage;

    /// A peer was heard from on a new connection. False to refuse it.
    fn on_up(
        &self,
        peer: &Arc<Peer>,
    ) -> bool;

    /// A control message arrived.
    fn on_message(
        &self,
        peer: &Arc<Peer>,
        envelope: Envelope,
    );

    /// A connection ended; `last` if it was the peer's last one.
    fn on_down(
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
