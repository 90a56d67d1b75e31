//! Telling and hearing of what replicas say that they keep, in the own zone.

use {
    super::{KeptTold, PeerLink, PeerMessage, peer_link::SILENCE},
    crate::policy::{Moment, placement::KeptNews},
    std::net::SocketAddr,
};

/// Events in one datagram: up to 19 bytes each.
const EVENTS: usize = 60;

/// What goes before the events of a replica, counted as so many of them.
const HEAD: usize = 2;

impl PeerLink {
    /// Tells the routers of the own zone what replicas said to this one, and those that speak
    /// for other zones which shared parts were given up.
    pub(super) async fn send_kept(
        &self,
        now: Moment,
        addresses: &[SocketAddr],
    ) {
        let heard = self.gateway.peers.heard(now, SILENCE).into_iter().collect();
        let has_new = {
            let known = &mut self.told.lock().expect("told lock").kept_fellows;
            let before = std::mem::replace(known, heard);
            known.iter().any(|fellow| !before.contains(fellow))
        };
        if has_new {
            let zone = &self.gateway.settings().process.zone;
            self.gateway.replica_table().tell_kept_again(now, zone);
        }
        let (news, zone_news) = {
            let mut replica_table = self.gateway.replica_table();
            (
                replica_table.take_kept_news(),
                replica_table.take_zone_kept_news(),
            )
        };
        self.send_kept_news(news, addresses).await;
        if !zone_news.is_empty() {
            for zone in self.gateway.peers.other_zones() {
                let contacts = self.contacts(now, zone);
                self.send_kept_news(zone_news.clone(), &contacts).await;
            }
        }
    }

    async fn send_kept_news(
        &self,
        news: Vec<(u32, KeptNews)>,
        addresses: &[SocketAddr],
    ) {
        if addresses.is_empty() {
            return;
        }
        let own = self.gateway.peers.own();
        for replicas in datagrams(news) {
            let told = KeptTold {
                zone: own.zone,
                teller: own.address,
                replicas,
            };
            self.send(&PeerMessage::Kept(told), addresses).await;
        }
    }

    /// Takes in what replicas said to another router. Whether fellows are to be told: it comes
    /// from another zone, from the router that follows them.
    pub(super) fn take_kept(
        &self,
        from: SocketAddr,
        told: &KeptTold,
    ) -> bool {
        let gateway = &self.gateway;
        let is_own_zone = told.zone == gateway.peers.own().zone;
        if is_own_zone && from != told.teller {
            return false;
        }
        let now = gateway.now();
        let mut replica_table = gateway.replica_table();
        for (start, news) in &told.replicas {
            replica_table.hear_kept(now, *start, news);
        }
        !is_own_zone && from == told.teller
    }
}

/// Cuts news so that each list fits one datagram.
fn datagrams(news: Vec<(u32, KeptNews)>) -> Vec<Vec<(u32, KeptNews)>> {
    let mut datagrams = Vec::new();
    let mut current = Vec::new();
    let mut size = 0;
    let whole = news.into_iter().flat_map(|(start, news)| {
        let parts = cut(news).into_iter();
        parts.map(move |part| (start, part))
    });
    for (start, news) in whole {
        let cost = HEAD + news.events.len();
        if size + cost > EVENTS && !current.is_empty() {
            datagrams.push(std::mem::take(&mut current));
            size = 0;
        }
        size += cost;
        current.push((start, news));
    }
    datagrams.extend((!current.is_empty()).then_some(current));
    datagrams
}

/// News as some that follow each other without a gap between them.
fn cut(news: KeptNews) -> Vec<KeptNews> {
    let most = EVENTS - HEAD;
    if news.events.len() <= most {
        return vec![news];
    }
    let mut from = news.from;
    let mut has_gap = news.has_gap;
    let mut rest = news.events.as_slice();
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let (events, later) = rest.split_at(most.min(rest.len()));
        let next = later.first().map_or(news.next, |event| event.number);
        parts.push(KeptNews {
            epoch: news.epoch,
            from,
            next,
            has_gap: std::mem::take(&mut has_gap),
            is_again: news.is_again,
            events: events.to_vec(),
        });
        from = next;
        rest = later;
    }
    parts
}
