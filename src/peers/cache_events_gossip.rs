//! Exchanges the prompt-cache events of replicas: those that a router reads from a replica are
//! forwarded to the other routers.

use {
    super::{CacheEventsMessage, PeerLink, PeerMessage, peer_link::PEER_SILENCE_LIMIT},
    crate::policy::{Moment, placement::CacheEventBatch},
    std::net::SocketAddr,
};

/// Events in one datagram, at up to 19 bytes each.
const MAX_EVENTS: usize = 60;

/// Size of the fields before the events of a replica, counted in events.
const HEAD_EVENTS: usize = 2;

impl PeerLink {
    /// Sends new cache events to the routers of the own zone, and evictions of shared prompt
    /// parts to the other zones. After a new router has appeared in the own zone, the full
    /// cache contents of the replicas whose events this router reads are sent again.
    pub(super) async fn send_cache_events(
        &self,
        now: Moment,
        addresses: &[SocketAddr],
    ) {
        let live = self
            .gateway
            .peers
            .live_addresses(now, PEER_SILENCE_LIMIT)
            .into_iter()
            .collect();
        let has_new = {
            let known = &mut self.sent.lock().expect("sent lock").cache_event_peers;
            let before = std::mem::replace(known, live);
            known.iter().any(|router| !before.contains(router))
        };
        if has_new {
            let zone = &self.gateway.settings().process.zone;
            self.gateway.replica_table().resend_cached_parts(now, zone);
        }
        let (events, shared_evictions) = {
            let mut replica_table = self.gateway.replica_table();
            (
                replica_table.take_cache_events(),
                replica_table.take_zone_evictions(),
            )
        };
        self.send_event_batches(events, addresses).await;
        if !shared_evictions.is_empty() {
            for zone in self.gateway.peers.other_zones() {
                let contacts = self.zone_contacts(now, zone);
                self.send_event_batches(shared_evictions.clone(), &contacts)
                    .await;
            }
        }
    }

    async fn send_event_batches(
        &self,
        batches: Vec<(u32, CacheEventBatch)>,
        addresses: &[SocketAddr],
    ) {
        if addresses.is_empty() {
            return;
        }
        let own = self.gateway.peers.own();
        for replicas in datagrams(batches) {
            let message = CacheEventsMessage {
                zone: own.zone,
                reporter: own.address,
                replicas,
            };
            self.send(&PeerMessage::CacheEvents(message), addresses)
                .await;
        }
    }

    /// Applies cache events that another router has read. Returns whether the message is to be
    /// relayed within the own zone: it came directly from its author in another zone.
    pub(super) fn apply_cache_events(
        &self,
        from: SocketAddr,
        message: &CacheEventsMessage,
    ) -> bool {
        let gateway = &self.gateway;
        let is_own_zone = message.zone == gateway.peers.own().zone;
        if is_own_zone && from != message.reporter {
            return false;
        }
        let now = gateway.now();
        let mut replica_table = gateway.replica_table();
        for (start, events) in &message.replicas {
            replica_table.apply_peer_cache_events(now, *start, events);
        }
        !is_own_zone && from == message.reporter
    }
}

/// Distributes the events of replicas over lists that each fit one datagram.
fn datagrams(batches: Vec<(u32, CacheEventBatch)>) -> Vec<Vec<(u32, CacheEventBatch)>> {
    let mut datagrams = Vec::new();
    let mut current = Vec::new();
    let mut size = 0;
    let small_batches = batches.into_iter().flat_map(|(start, batch)| {
        let pieces = split(batch).into_iter();
        pieces.map(move |piece| (start, piece))
    });
    for (start, batch) in small_batches {
        let cost = HEAD_EVENTS + batch.events.len();
        if size + cost > MAX_EVENTS && !current.is_empty() {
            datagrams.push(std::mem::take(&mut current));
            size = 0;
        }
        size += cost;
        current.push((start, batch));
    }
    datagrams.extend((!current.is_empty()).then_some(current));
    datagrams
}

/// Splits the events of one replica into batches that each fit one datagram and follow each
/// other without a gap.
fn split(batch: CacheEventBatch) -> Vec<CacheEventBatch> {
    let max_events = MAX_EVENTS - HEAD_EVENTS;
    if batch.events.len() <= max_events {
        return vec![batch];
    }
    let mut from = batch.from;
    let mut has_gap = batch.has_gap;
    let mut rest = batch.events.as_slice();
    let mut pieces = Vec::new();
    while !rest.is_empty() {
        let (events, later) = rest.split_at(max_events.min(rest.len()));
        let next = later.first().map_or(batch.next, |event| event.number);
        pieces.push(CacheEventBatch {
            epoch: batch.epoch,
            from,
            next,
            has_gap: std::mem::take(&mut has_gap),
            is_snapshot: batch.is_snapshot,
            events: events.to_vec(),
        });
        from = next;
        rest = later;
    }
    pieces
}
