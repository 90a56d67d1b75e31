//! Tells other routers that this one compares the store's eras, and what it knows from an earlier
//! era that the store's copy lacks. A router that has started since, or had not heard of it before
//! the loss, would go by the copy.

use {
    super::{ErasMessage, PeerLink, PeerMessage},
    crate::{
        catalog::{EarlierCordon, EarlierWord, era_of},
        policy::Moment,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Interval at which a router tells its zone that it compares eras.
const INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which what is known from an earlier era is told again while it stands.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);

/// Entries of upstreams in one datagram, at some 300 bytes each.
const MAX_WORDS: usize = 3;

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
        let (words, cordons) = self.gateway.catalog.earlier_words();
        let is_silent = words.is_empty() && cordons.is_empty();
        let interval = match is_silent {
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
        let part = |words: &[EarlierWord], cordons: &[EarlierCordon]| {
            let own = self.gateway.peers.own();
            PeerMessage::Eras(ErasMessage {
                zone: own.zone,
                reporter: own.address,
                is_reader: self.gateway.store_reads.is_reader(),
                era: era_of(self.gateway.catalog.version().upstreams),
                words: words.to_vec(),
                cordons: cordons.to_vec(),
            })
        };
        if is_silent {
            return self.send(&part(&[], &[]), addresses).await;
        }
        let words = words.chunks(MAX_WORDS).map(|words| part(words, &[]));
        let cordons = cordons
            .chunks(MAX_CORDONS)
            .map(|cordons| part(&[], cordons));
        let mut receivers = self.represented_contacts(now);
        receivers.extend(addresses);
        for message in words.chain(cordons) {
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
            .offer_earlier_words(message.era, message.words, message.cordons, &reporter);
        !is_own_zone && from == message.reporter
    }
}
