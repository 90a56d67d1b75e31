use {crate::policy::Incarnation, std::collections::HashMap};

/// How the incarnation in a peer's first message compares to the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerObservation {
    New,
    Same,
    Restarted,
    Stale, // an earlier incarnation: its messages are ignored
}

/// The peers that sent messages, and the newest incarnation of each.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    peers: HashMap<String, Peer>,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    incarnation: Incarnation,
    leaving: bool,
}

impl Membership {
    /// Records a peer's first message on a connection.
    pub fn observe(
        &mut self,
        host: &str,
        incarnation: Incarnation,
    ) -> PeerObservation {
        let observation = match self.peers.get(host) {
            None => PeerObservation::New,
            Some(peer) if peer.incarnation == incarnation => return PeerObservation::Same,
            Some(peer) if peer.incarnation > incarnation => return PeerObservation::Stale,
            Some(_) => PeerObservation::Restarted,
        };
        let peer = Peer {
            incarnation,
            leaving: false,
        };
        self.peers.insert(host.to_owned(), peer);
        observation
    }

    /// Records that a peer announced that it is leaving.
    pub fn leave(
        &mut self,
        host: &str,
    ) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.leaving = true;
        }
    }

    /// Records that a peer takes work again.
    pub fn come_back(
        &mut self,
        host: &str,
    ) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.leaving = false;
        }
    }

    /// Whether a peer's newest incarnation announced that it is leaving.
    pub fn is_leaving(
        &self,
        host: &str,
    ) -> bool {
        self.peers.get(host).is_some_and(|peer| peer.leaving)
    }

    /// The newest incarnation of a peer.
    pub fn incarnation(
        &self,
        host: &str,
    ) -> Option<Incarnation> {
        self.peers.get(host).map(|peer| peer.incarnation)
    }

    /// Removes peers that are no longer listed.
    pub fn retain(
        &mut self,
        listed: impl Fn(&str) -> bool,
    ) {
        self.peers.retain(|host, _| listed(host));
    }
}
