//! Reports to other routers that this one compares the store's eras, and what it carried over from
//! an earlier era. A router that has started since, or had not learnt of a change before the store
//! lost it, would rely on the store's copy.

use {
    super::{ErasMessage, PeerLink, PeerMessage},
    crate::{
        catalog::{CarriedCordon, CarriedEntry, era_of},
        policy::Moment,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Interval at which a router reports to its zone that it compares eras.
const INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which carried entries and cordons are sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);

/// Entries of upstreams in one datagram, at some 300 bytes each.
const MAX_ENTRIES: usize = 3;

/// Cordons in one datagram, at up to 130 bytes each.
const MAX_CORDONS: usize = 4;

impl PeerLink {
    /// Sends what is due to the routers of the own zone, and to the other zones that this router
    /// represents its own to.
    pub(super) async fn send_eras(
        &self,
        now: Moment,
        addresses: &[SocketAddr],
    ) {
        let (entries, cordons) = self.gateway.catalog.carried();
        let is_empty = entries.is_empty() && cordons.is_empty();
        let interval = match is_empty {
            true => INTERVAL,
            false => RESEND_INTERVAL,
        };
        {
            let last = &mut self.sent.lock().expect("sent lock").eras;
            if last.is_some_and(|last| now.saturating_sub(last) < interval) {
                return;
            }
            *last = Some(now);
        }
        let part = |entries: &[CarriedEntry], cordons: &[CarriedCordon]| {
            let own = self.gateway.peers.own();
            PeerMessage::Eras(ErasMessage {
                zone: own.zone,
                reporter: own.address,
                is_reader: self.gateway.store_reads.is_reader(),
                era: era_of(self.gateway.catalog.version().upstreams),
                entries: entries.to_vec(),
                cordons: cordons.to_vec(),
            })
        };
        if is_empty {
            return self.send(&part(&[], &[]), addresses).await;
        }
        let entries = entries
            .chunks(MAX_ENTRIES)
            .map(|entries| part(entries, &[]));
        let cordons = cordons
            .chunks(MAX_CORDONS)
            .map(|cordons| part(&[], cordons));
        let mut receivers = self.represented_contacts(now);
        receivers.extend(addresses);
        for message in entries.chain(cordons) {
            self.send(&message, &receivers).await;
        }
    }

    /// Applies a message of another router. Returns whether it is to be relayed within the own
    /// zone: it came directly from its author in another zone.
    pub(super) fn apply_eras(
        &self,
        from: SocketAddr,
        message: ErasMessage,
    ) -> bool {
        let gateway = &self.gateway;
        let is_own_zone = message.zone == gateway.peers.own().zone;
        if is_own_zone && from == message.reporter {
            gateway
                .peers
                .record_eras(gateway.now(), from, message.is_reader);
        }
        let reporter = message.reporter.to_string();
        gateway
            .catalog
            .offer_carried(message.era, message.entries, message.cordons, &reporter);
        !is_own_zone && from == message.reporter
    }
}
