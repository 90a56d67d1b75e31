//! Exchanges the software versions at which streams began, so that a caller can take up a stream
//! at another router.

use {
    super::{
        PeerLink, PeerMessage, QueryScope, StreamAnswerMessage, StreamOriginsMessage,
        StreamQueryMessage, peer_link::PEER_SILENCE_LIMIT,
    },
    crate::{
        direct::Gateway,
        ops::{STREAM_ORIGINS, STREAM_ORIGINS_SENT},
        policy::{
            Moment,
            streams::{OriginBatches, OriginFinding, OriginHomes, OriginReceiver, ZoneContacts},
        },
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Records in one datagram, at up to 22 bytes each.
const MAX_ORIGINS: usize = 45;

/// Shortest time between two rounds of sending, so that records of a busy router share datagrams.
const SEND_INTERVAL: Duration = Duration::from_millis(2);

/// Routers of other zones that were not heard of for longer are not sent to. Summaries name each
/// live router of their zone within this time.
const MAX_CONTACT_AGE: Duration = Duration::from_secs(3);

impl PeerLink {
    /// Sends new records and queries as they arise, until the process exits.
    pub(super) async fn send_stream_messages(self: Arc<Self>) {
        loop {
            self.gateway.stream_origins.wait_for_unsent().await;
            for (router, query) in self.gateway.stream_origins.take_unsent_queries() {
                self.send(&PeerMessage::StreamQuery(query), &[router]).await;
            }
            self.send_origins(self.gateway.now()).await;
            tokio::time::sleep(SEND_INTERVAL).await;
        }
    }

    /// Removes expired records, and sends those of this router to routers that have become their
    /// homes.
    pub(super) async fn update_stream_origins(
        &self,
        now: Moment,
    ) {
        let origins = &self.gateway.stream_origins;
        origins.remove_expired(now);
        metrics::gauge!(STREAM_ORIGINS).set(origins.len() as f64);
        self.send_origins(now).await;
    }

    async fn send_origins(
        &self,
        now: Moment,
    ) {
        let homes = origin_homes(&self.gateway, now);
        let batches = self.gateway.stream_origins.take_unsent(now, homes);
        self.send_origin_batches(batches).await;
    }

    async fn send_origin_batches(
        &self,
        batches: OriginBatches,
    ) {
        for (receiver, origins) in batches {
            metrics::counter!(STREAM_ORIGINS_SENT).increment(origins.len() as u64);
            for part in origins.chunks(MAX_ORIGINS) {
                let message = StreamOriginsMessage {
                    for_zone: receiver.for_zone,
                    origins: part.to_vec(),
                };
                self.send(&PeerMessage::StreamOrigins(message), &[receiver.address])
                    .await;
            }
        }
    }

    /// Keeps records of another router, and passes those of another zone on to their homes.
    pub(super) async fn apply_stream_origins(
        &self,
        from: SocketAddr,
        message: StreamOriginsMessage,
    ) {
        let gateway = &self.gateway;
        let now = gateway.now();
        gateway.stream_origins.apply(now, from, &message.origins);
        if !message.for_zone {
            return;
        }
        let homes = origin_homes(gateway, now);
        let own = gateway.peers.own().address;
        let mut batches = OriginBatches::new();
        for origin in message.origins {
            if let Some(home) = homes.first_home(own, origin.key) {
                let receiver = OriginReceiver {
                    address: home,
                    for_zone: false,
                };
                batches.entry(receiver).or_default().push(origin);
            }
        }
        self.send_origin_batches(batches).await;
    }

    /// Answers the query of another router. One on behalf of the zone is passed on to the homes of
    /// the stream if this router does not know its origin.
    pub(super) async fn answer_stream_query(
        &self,
        from: SocketAddr,
        query: StreamQueryMessage,
    ) {
        let gateway = &self.gateway;
        let now = gateway.now();
        let finding = gateway.stream_origins.find(now, query.key);
        let (asker, others) = match query.scope {
            QueryScope::Router => (from, Vec::new()),
            QueryScope::PassedOn(asker) => (asker, Vec::new()),
            QueryScope::Zone if finding != OriginFinding::Unknown => (from, Vec::new()),
            QueryScope::Zone => (from, origin_homes(gateway, now).asked_in_zone(query.key)),
        };
        let answer = StreamAnswerMessage {
            key: query.key,
            finding,
            passed_on: others.len() as u8,
        };
        self.send(&PeerMessage::StreamAnswer(answer), &[asker])
            .await;
        if !others.is_empty() {
            let passed_on = StreamQueryMessage {
                key: query.key,
                scope: QueryScope::PassedOn(asker),
            };
            self.send(&PeerMessage::StreamQuery(passed_on), &others)
                .await;
        }
    }

    /// Applies an answer to a query of this router.
    pub(super) fn apply_stream_answer(
        &self,
        from: SocketAddr,
        answer: &StreamAnswerMessage,
    ) {
        self.gateway.stream_origins.apply_answer(
            from,
            answer.key,
            answer.finding,
            usize::from(answer.passed_on),
        );
    }
}

/// The routers that keep the records of streams, by what this router knows of the others.
pub(super) fn origin_homes(
    gateway: &Gateway,
    now: Moment,
) -> OriginHomes {
    let neighbours = gateway.peers.live_processes(now, PEER_SILENCE_LIMIT);
    let zones = gateway.zones.representatives(now, PEER_SILENCE_LIMIT);
    let mut recent = gateway.peers.recent_by_zone(now, MAX_CONTACT_AGE);
    let contacts = zones.into_iter().map(|(zone, representative)| {
        let mut routers = recent.remove(&zone).unwrap_or_default();
        if !routers.contains(&representative) {
            routers.push(representative);
        }
        ZoneContacts { zone, routers }
    });
    OriginHomes::new(gateway.peers.own().zone, neighbours, contacts)
}
