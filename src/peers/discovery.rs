//! Discovers the other routers of the fleet.

use {
    super::{PeerLink, PeerMessage},
    std::{sync::Arc, time::Duration},
};

/// Interval of discovery requests to all known routers while no router of the own zone
/// has reported.
const STARTUP_INTERVAL: Duration = Duration::from_millis(200);

/// How long after the start of the process a router without peers in its zone uses
/// [`STARTUP_INTERVAL`].
const STARTUP_TIME: Duration = Duration::from_secs(5);

/// Interval of discovery requests to one random router after that, so that the two sides
/// of a healed network partition find each other again.
const STEADY_INTERVAL: Duration = Duration::from_secs(2);

impl PeerLink {
    /// Sends discovery requests until the process exits.
    pub(super) async fn discover(self: Arc<Self>) {
        loop {
            let now = self.gateway.now();
            let peers = &self.gateway.peers;
            let known = peers.discovery_addresses();
            let is_alone = now < STARTUP_TIME && peers.live_count(now, STARTUP_TIME) == 0;
            let request = PeerMessage::Ask(peers.own());
            if is_alone {
                self.send(&request, &known).await;
                tokio::time::sleep(STARTUP_INTERVAL).await;
                continue;
            }
            if let Some(target) = known.get(rand::random_range(0..known.len().max(1))) {
                self.send(&request, &[*target]).await;
            }
            tokio::time::sleep(STEADY_INTERVAL).await;
        }
    }
}
