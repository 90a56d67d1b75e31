//! Finding the other routers.

use {
    super::{PeerLink, PeerMessage},
    std::{sync::Arc, time::Duration},
};

/// How often others are asked while no router of the own zone is heard of.
const SEARCH_EVERY: Duration = Duration::from_millis(200);

/// A router that is alone in its zone searches so long.
const SEARCH_TIME: Duration = Duration::from_secs(5);

/// How often one that is drawn is asked later on, so that parts of the fleet that
/// were cut off find each other again.
const ASK_EVERY: Duration = Duration::from_secs(2);

impl PeerLink {
    /// Asks for names for as long as the process lives.
    pub(super) async fn ask_names(self: Arc<Self>) {
        loop {
            let now = self.gateway.now();
            let peers = &self.gateway.peers;
            let known = peers.to_ask();
            let searches = now < SEARCH_TIME && peers.alive(now, SEARCH_TIME) == 0;
            let ask = PeerMessage::Ask(peers.own());
            if searches {
                self.send(&ask, &known).await;
                tokio::time::sleep(SEARCH_EVERY).await;
                continue;
            }
            if let Some(drawn) = known.get(rand::random_range(0..known.len().max(1))) {
                self.send(&ask, &[*drawn]).await;
            }
            tokio::time::sleep(ASK_EVERY).await;
        }
    }
}
