//! The router's handling of connections, control messages and streams.

use {
    super::{router::Router, sidecar_view::SidecarView},
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

impl LinkHandler for Router {
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
        let observation = self.node.observe_peer(peer);
        if observation == PeerObservation::Stale {
            return false;
        }
        if peer.role() == HostRole::Sidecar {
            let mut sidecars = self.sidecars.lock().expect("sidecar lock");
            match sidecars.get_mut(&peer.host) {
                Some(view) if observation == PeerObservation::Same => view.reconnect(peer.leaving),
                _ => {
                    sidecars.insert(peer.host.clone(), SidecarView::new(peer.leaving));
                }
            }
        }
        self.demand_changed.notify_one();
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
        if peer.role() != HostRole::Sidecar {
            return; // routers send each other only configuration revisions
        }
        match envelope.message {
            ControlMessage::Grants(grants) => self.on_grants(peer, &grants),
            ControlMessage::FreeSlots { free } => self.on_free_slots(peer, free),
            ControlMessage::Leaving => {
                self.update_sidecar(peer, |view| {
                    view.leaving = true;
                    view.free_slots = 0;
                });
                let mut membership = self.node.membership.lock().expect("membership lock");
                membership.leave(&peer.host);
            }
            ControlMessage::ResendDemand => {
                self.update_sidecar(peer, |view| view.announced.clear());
                self.demand_changed.notify_one();
            }
            ControlMessage::Report {
                sequence,
                floor,
                entries,
            } => self.on_report(peer, sequence, floor, &entries),
            _ => {}
        }
    }

    fn on_disconnect(
        &self,
        peer: &Arc<Peer>,
        last: bool,
    ) {
        if last {
            let mut sidecars = self.sidecars.lock().expect("sidecar lock");
            sidecars.remove(&peer.host);
        }
    }

    async fn on_stream(
        self: Arc<Self>,
        peer: Arc<Peer>,
        open: StreamOpen,
        send: SendStream,
        _recv: RecvStream,
    ) {
        match open {
            StreamOpen::FetchConfig { have } => {
                if let Err(error) = serve_config(&self.node, &have, send).await {
                    log::debug!(code = error.code.number(); "configuration not sent: {error}");
                }
            }
            StreamOpen::Exchange(_) => log::warn!("{} sent a request to a router", peer.name),
        }
    }
}

impl Router {
    /// Updates a sidecar's free slots. A leaving sidecar announces none; when it announces
    /// some again, its upstream was replaced, and it has dropped the demand announced to it.
    fn on_free_slots(
        &self,
        peer: &Peer,
        free: u32,
    ) {
        let mut resumes = false;
        self.update_sidecar(peer, |view| {
            view.free_slots = free;
            resumes = view.leaving && free > 0;
            if resumes {
                view.leaving = false;
                view.announced.clear();
            }
        });
        if resumes {
            log::info!(sidecar = &*peer.host, free = free; "a sidecar that was leaving takes work again");
            let mut membership = self.node.membership.lock().expect("membership lock");
            membership.come_back(&peer.host);
            drop(membership);
            self.demand_changed.notify_one();
        }
    }
}
