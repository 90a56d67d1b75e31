use {crate::policy::Incarnation, std::collections::HashMap};

/// What a peer's first message says about its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sighting {
    New,
    Same,
    Restarted,
    Stale, // an earlier life: its messages count for nothing
}

/// The peers heard from, and which life of each is the newest.
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
    /// Takes in that a peer was heard from.
    pub fn sight(
        &mut self,
        host: &str,
        incarnation: Incarnation,
    ) -> Sighting {
        let sighting = match self.peers.get(host) {
            None => Sighting::New,
            Some(peer) if peer.incarnation == incarnation => return Sighting::Same,
            Some(peer) if peer.incarnation > incarnation => return Sighting::Stale,
            Some(_) => Sighting::Restarted,
        };
        let peer = Peer {
            incarnation,
            leaving: false,
        };
        self.peers.insert(host.to_owned(), peer);
        sighting
    }

    /// Takes in that a peer says it is leaving.
    pub fn leave(
        &mut self,
        host: &str,
    ) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.leaving = true;
        }
    }

    /// Takes in that a peer takes work again.
    pub fn come_back(
        &mut self,
        host: &str,
    ) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.leaving = false;
        }
    }

    /// Whether a peer has said, in its newest life, that it is leaving.
    pub fn is_leaving(
        &self,
        host: &str,
    ) -> bool {
        self.peers.get(host).is_some_and(|peer| peer.leaving)
    }

    /// The newest life of a peer.
    pub fn incarnation(
        &self,
        host: &str,
    ) -> Option<Incarnation> {
        self.peers.get(host).map(|peer| peer.incarnation)
    }

    /// Forgets peers that are not in this list any more.
    pub fn retain(
        &mut self,
        listed: impl Fn(&str) -> bool,
    ) {
        self.peers.retain(|host, _| listed(host));
    }
}
