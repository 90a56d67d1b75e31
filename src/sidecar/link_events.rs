//! The sidecar's handling of connections, control messages and streams.

use {
    super::{exchange::serve_exchange, sidecar::Sidecar},
    crate::{
        fleet::HostRole,
        link::{LinkHandler, Peer},
        node::serve_config,
        policy::PeerObservation,
        wire::{ControlMessage, Envelope, StreamOpen},
    },
    quinn::{RecvStream, SendStream},
    std::sync::Arc,
};

impl LinkHandler for Sidecar {
    fn envelope(
        &self,
        message: ControlMessage,
    ) -> Envelope {
        self.node.envelope(message)
    }

    fn hello(&self) -> ControlMessage {
        self.node.hello()
    }

    fn on_connect(
        &self,
        peer: &Arc<Peer>,
    ) -> bool {
        match self.node.observe_peer(peer) {
            PeerObservation::Stale => return false,
            PeerObservation::Restarted => self.remove_router(&peer.host),
            PeerObservation::New | PeerObservation::Same => {}
        }
        if let Some(link) = self.link() {
            let free = self.table.lock().expect("table lock").announced_free_slots;
            link.send(peer, ControlMessage::FreeSlots { free });
        }
        true
    }

    fn on_message(
        &self,
        peer: &Arc<Peer>,
        envelope: Envelope,
    ) {
        self.node
            .clone()
            .fetch_if_newer(peer, envelope.revision, &envelope.digest);
        if peer.role() != HostRole::Router {
            return; // sidecars send each other only configuration revisions
        }
        match envelope.message {
            ControlMessage::Demand {
                newest_grant,
                lines,
            } => self.on_demand(peer, newest_grant, &lines),
            ControlMessage::Declines(numbers) => self.on_declines(peer, &numbers),
            ControlMessage::Totals { entries, .. } => {
                let mut table = self.table.lock().expect("table lock");
                entries
                    .iter()
                    .for_each(|entry| table.dispatcher.apply_total(entry));
            }
            ControlMessage::Leaving => {
                let mut membership = self.node.membership.lock().expect("membership lock");
                membership.leave(&peer.host);
            }
            _ => {}
        }
    }

    fn on_disconnect(
        &self,
        peer: &Arc<Peer>,
        last: bool,
    ) {
        if last {
            self.remove_router(&peer.host);
        }
    }

    async fn on_stream(
        self: Arc<Self>,
        peer: Arc<Peer>,
        open: StreamOpen,
        send: SendStream,
        recv: RecvStream,
    ) {
        match open {
            StreamOpen::Exchange(head) if peer.role() == HostRole::Router => {
                serve_exchange(self, peer, *head, send, recv).await;
            }
            StreamOpen::Exchange(_) => log::warn!("{} may not send requests", peer.name),
            StreamOpen::FetchConfig { have } => {
                if let Err(error) = serve_config(&self.node, &have, send).await {
                    log::debug!(code = error.code.number(); "configuration not sent: {error}");
                }
            }
        }
    }
}
