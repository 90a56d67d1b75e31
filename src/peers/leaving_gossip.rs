//! Exchanges announcements of replicas that shut down, within the own zone. Routers of a zone
//! hand connections over to each other and relay answers unparsed, so that a router may not
//! see the announcement in an answer that passes through it.

use {
    super::{LeavingMessage, PeerLink, PeerMessage},
    crate::{ops::Uptime, policy::Moment},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Replicas in one datagram, at up to five bytes each.
const MAX_REPLICAS: usize = 200;

/// Interval at which an announcement is sent again while it is valid: a datagram may be
/// lost, and a router may have started since.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// When the announcement of each replica was last sent, by the hash of its id and start time.
pub(super) type LeavingTimes = HashMap<u32, Moment>;

impl PeerLink {
    /// Sends the announcements that this router received to the routers of its zone.
    pub(super) async fn send_leaving(
        &self,
        now: Moment,
        addresses: &[SocketAddr],
    ) {
        let leaving = self.gateway.replica_table().leaving_starts();
        let due: Vec<u32> = {
            let times = &mut self.sent.lock().expect("sent lock").leaving;
            times.retain(|start, _| leaving.contains(start));
            let is_due = |start: &u32| {
                let sent = times.get(start);
                sent.is_none_or(|at| now.saturating_sub(*at) >= RESEND_INTERVAL)
            };
            let due: Vec<u32> = leaving.into_iter().filter(is_due).collect();
            times.extend(due.iter().map(|start| (*start, now)));
            due
        };
        let own = self.gateway.peers.own();
        for starts in due.chunks(MAX_REPLICAS) {
            let message = LeavingMessage {
                zone: own.zone,
                reporter: own.address,
                starts: starts.to_vec(),
            };
            self.send(&PeerMessage::Leaving(message), addresses).await;
        }
    }

    /// Applies the announcements that a router of the own zone received. Messages from
    /// another address than their author's are ignored.
    pub(super) fn apply_leaving(
        &self,
        from: SocketAddr,
        message: &LeavingMessage,
    ) {
        let gateway = &self.gateway;
        if from != message.reporter || message.zone != gateway.peers.own().zone {
            return;
        }
        let unix_ms = Uptime::unix_millis();
        let newly_leaving = gateway
            .replica_table()
            .apply_peer_leaving(unix_ms, &message.starts);
        for replica in newly_leaving {
            log::info!(
                replica = &*replica.id,
                born = replica.started_unix_ms,
                teller = message.reporter.to_string().as_str();
                "a fellow heard that a replica leaves"
            );
        }
    }
}
