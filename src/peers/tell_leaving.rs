//! Telling and hearing of replicas that said that they leave, in the own zone: its routers
//! hand connections on to each other, and so pass answers on that they do not read.

use {
    super::{LeavingTold, PeerLink, PeerMessage},
    crate::{ops::Uptime, policy::Moment},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Starts of replicas in one datagram: up to five bytes each.
const STARTS: usize = 200;

/// What lasts is told again after this long: a datagram may be lost, a fellow may start.
const TOLD_AGAIN: Duration = Duration::from_millis(500);

/// When each start of a replica was last told to leave.
pub(super) type LeavingTimes = HashMap<u32, Moment>;

impl PeerLink {
    /// Tells the routers of the own zone who said to this one that it leaves.
    pub(super) async fn send_leaving(
        &self,
        now: Moment,
        addresses: &[SocketAddr],
    ) {
        let leaving = self.gateway.replica_table().heard_leaving();
        let due: Vec<u32> = {
            let times = &mut self.told.lock().expect("told lock").leaving;
            times.retain(|start, _| leaving.contains(start));
            let is_due = |start: &u32| {
                let told = times.get(start);
                told.is_none_or(|at| now.saturating_sub(*at) >= TOLD_AGAIN)
            };
            let due: Vec<u32> = leaving.into_iter().filter(is_due).collect();
            times.extend(due.iter().map(|start| (*start, now)));
            due
        };
        let own = self.gateway.peers.own();
        for starts in due.chunks(STARTS) {
            let told = LeavingTold {
                zone: own.zone,
                teller: own.address,
                starts: starts.to_vec(),
            };
            self.send(&PeerMessage::Leaving(told), addresses).await;
        }
    }

    /// Takes in what a router of the own zone heard.
    pub(super) fn take_leaving(
        &self,
        from: SocketAddr,
        told: &LeavingTold,
    ) {
        let gateway = &self.gateway;
        if from != told.teller || told.zone != gateway.peers.own().zone {
            return;
        }
        let unix_ms = Uptime::unix_millis();
        let news = gateway
            .replica_table()
            .hear_of_leaving(unix_ms, &told.starts);
        for replica in news {
            log::info!(
                replica = &*replica.id,
                born = replica.born,
                teller = told.teller.to_string().as_str();
                "a fellow heard that a replica leaves"
            );
        }
    }
}
