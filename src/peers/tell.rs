//! Telling other routers what is here.

use {
    super::{
        Figures, PeerLink, PeerMessage, RouterReport, ToldReports, ZoneSum,
        peer_link::{SILENCE, router_name},
    },
    crate::{
        ops::PEERS,
        policy::{
            Moment,
            placement::{CacheNote, FleetSize},
            slow_start::ZoneRouters,
            stable_hash,
        },
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The shortest time between two reports.
const LEAST_PAUSE: Duration = Duration::from_millis(10);

/// Datagrams a second that one router sends at most for its regular reports:
/// where its zone has many routers, each is told less often.
const DATAGRAMS_PER_SECOND: f64 = 200.0;

/// Datagrams a second that it sends at most while its reports are urgent.
const URGENT_DATAGRAMS_PER_SECOND: f64 = 400.0;

/// What did not change is told again after this part of the age at which others
/// stop believing it.
const REFRESH_SHARE: f32 = 0.5;

/// Routers of its zone that a sum names, in turn.
const MEMBERS: usize = 4;

/// Routers of another zone that a sum is sent to while none of them speaks.
const CONTACTS: usize = 3;

impl PeerLink {
    /// Sends reports at their pace, and soon after the catalog changes.
    pub(super) async fn tell(self: Arc<Self>) {
        let mut changes = self.gateway.catalog.subscribe();
        loop {
            let now = self.gateway.now();
            let settings = self.gateway.settings();
            let peers = &self.gateway.peers;
            for address in peers.forget_silent(now, settings.peer_forget) {
                log::info!(peer = address.to_string().as_str(); "router forgotten");
                self.gateway.shares().forget(router_name(&address));
            }
            metrics::gauge!(PEERS).set(peers.alive(now, settings.peer_forget) as f64);
            let addresses = peers.in_zone();
            self.send_reports(now, &addresses).await;
            self.send_suspects(now, &addresses).await;
            self.send_leaving(now, &addresses).await;
            self.send_evidence(now, &addresses).await;
            self.send_kept(now, &addresses).await;
            let sums = self.send_sums(now).await;
            let datagrams = (addresses.len() + sums) as f64;
            let least = Duration::from_secs_f64(datagrams / URGENT_DATAGRAMS_PER_SECOND);
            tokio::time::sleep(LEAST_PAUSE.max(least)).await;
            let paced = Duration::from_secs_f64(addresses.len() as f64 / DATAGRAMS_PER_SECOND);
            let pace = settings.peer_interval.max(paced);
            self.set_pace(pace);
            tokio::select! {
                () = tokio::time::sleep(pace) => {}
                () = self.gateway.early_report.notified() => {}
                _ = changes.changed() => {}
            }
        }
    }

    /// Notes how far apart reports are, and how many routers choose by them.
    fn set_pace(
        &self,
        pace: Duration,
    ) {
        let now = self.gateway.now();
        let forget = self.gateway.settings().peer_forget;
        let fleet = FleetSize {
            in_zone: self.gateway.peers.alive(now, forget) + 1,
            in_all: self.gateway.router_count(),
        };
        let routers = self.zone_routers(now);
        let mut replica_table = self.gateway.replica_table();
        replica_table.set_reports(pace, fleet);
        replica_table.set_zone_routers(routers);
        let belief_age = replica_table.belief_age();
        drop(replica_table);
        self.gateway.shares().set_peer_age(belief_age);
    }

    /// The routers of the own zone, for who sends to replicas that have just started.
    fn zone_routers(
        &self,
        now: Moment,
    ) -> ZoneRouters {
        let peers = &self.gateway.peers;
        let heard = peers.heard(now, SILENCE);
        let fellows = heard.iter().map(stable_hash).collect();
        let known = peers.alive(now, self.gateway.settings().peer_forget);
        ZoneRouters::new(now, stable_hash(&peers.own().address), fellows, known)
    }

    async fn send_reports(
        &self,
        now: Moment,
        addresses: &[SocketAddr],
    ) {
        let gateway = &self.gateway;
        let settings = gateway.settings();
        for figures in self.own_figures(now).cut() {
            let report = RouterReport {
                address: gateway.peers.own().address,
                news: self.news,
                callers: settings.callers,
                zone: gateway.peers.own().zone,
                incarnation: self.incarnation,
                sequence: self.next_sequence(),
                leaving: gateway.is_stopping(),
                busy: gateway.processor.busy_percent(),
                millicores: (settings.process.cores * 1000.0) as u16,
                store_lost: gateway.is_store_unavailable(),
                version: gateway.version_in_use(),
                figures,
            };
            self.send(&PeerMessage::Report(report), addresses).await;
        }
    }

    /// Sends the zone's sum, made once, to each zone to which this router speaks. Gives
    /// the number of these.
    async fn send_sums(
        &self,
        now: Moment,
    ) -> usize {
        let gateway = &self.gateway;
        let notes = gateway.replica_table().take_zone_notes();
        let suspects = gateway.suspects().take_zone_news(now);
        let zones = gateway.peers.other_zones();
        let leaves = gateway.is_stopping() && gateway.peers.alive(now, SILENCE) > 0;
        let spoken: Vec<u32> = zones
            .into_iter()
            .filter(|zone| !leaves && gateway.peers.speaks_to(now, SILENCE, *zone))
            .collect();
        let mut told = std::mem::take(&mut self.told.lock().expect("told lock").sums);
        told.retain(|zone, _| spoken.contains(zone));
        if !spoken.is_empty() {
            let all = self.zone_figures(now, notes);
            let mut times = std::mem::take(&mut self.told.lock().expect("told lock").zone_suspects);
            let suspects = self.with_lasting(now, suspects, &mut times);
            self.told.lock().expect("told lock").zone_suspects = times;
            for zone in &spoken {
                let told = told.entry(*zone).or_default();
                let figures = self.due(now, told, all.clone());
                self.send_sum(now, *zone, figures).await;
                if !suspects.is_empty() {
                    let contacts = self.contacts(now, *zone);
                    self.send_notes(suspects.clone(), &contacts).await;
                }
            }
        }
        self.told.lock().expect("told lock").sums = told;
        spoken.len()
    }

    async fn send_sum(
        &self,
        now: Moment,
        zone: u32,
        figures: Figures,
    ) {
        let gateway = &self.gateway;
        let own = gateway.peers.own();
        let contacts = self.contacts(now, zone);
        let fellows = gateway.peers.heard(now, SILENCE);
        for figures in figures.cut() {
            let sequence = self.next_sequence();
            let turn = sequence as usize % fellows.len().max(1);
            let sum = ZoneSum {
                zone: own.zone,
                carrier: own.address,
                news: self.news,
                incarnation: self.incarnation,
                sequence,
                routers: fellows.len() as u32 + 1,
                version: gateway.version_in_use(),
                figures,
                members: in_turn(&fellows, turn, MEMBERS),
            };
            self.send(&PeerMessage::Sum(sum), &contacts).await;
        }
    }

    /// Where a sum goes: to the router that speaks for the zone, or to some that
    /// are known while none does.
    pub(super) fn contacts(
        &self,
        now: Moment,
        zone: u32,
    ) -> Vec<SocketAddr> {
        if let Some(carrier) = self.zones().carrier(now, zone, SILENCE) {
            return vec![carrier];
        }
        let known = self.gateway.peers.in_any_zone(zone);
        let turn = rand::random_range(0..known.len().max(1));
        in_turn(&known, turn, CONTACTS)
    }

    /// What this router has to tell to those of its zone.
    fn own_figures(
        &self,
        now: Moment,
    ) -> Figures {
        let gateway = &self.gateway;
        let mut replica_table = gateway.replica_table();
        let notes = replica_table.take_notes();
        let replicas = replica_table.reports(now);
        let engines = replica_table.engine_reports();
        drop(replica_table);
        let usage = gateway.shares().own(now).clone();
        let mut told = self.told.lock().expect("told lock");
        let all = Figures {
            replicas,
            accounts: usage.into_iter().collect(),
            notes,
            engines,
        };
        self.due(now, &mut told.zone, all)
    }

    /// What the zone has to tell to others.
    fn zone_figures(
        &self,
        now: Moment,
        notes: Vec<CacheNote>,
    ) -> Figures {
        let gateway = &self.gateway;
        let replica_table = gateway.replica_table();
        let replicas = replica_table.zone_reports(now);
        let engines = replica_table.engine_reports();
        drop(replica_table);
        let usage = gateway.shares().zone_usage(now);
        Figures {
            replicas,
            accounts: usage.into_iter().collect(),
            notes,
            engines,
        }
    }

    /// The part of some figures that is to be told now.
    fn due(
        &self,
        now: Moment,
        told: &mut ToldReports,
        all: Figures,
    ) -> Figures {
        let settings = self.gateway.settings();
        let refresh = settings.peer_age.mul_f32(REFRESH_SHARE);
        let engines = if told.engines_due(now, settings.peer_age) {
            all.engines
        } else {
            Vec::new()
        };
        Figures {
            replicas: told.replicas(now, refresh, all.replicas),
            accounts: told.accounts(now, refresh, settings.share_window, &all.accounts),
            notes: told.notes(now, settings.peer_age, all.notes),
            engines,
        }
    }
}

/// Up to `count` routers of a list from the one whose turn it is, round and round.
fn in_turn(
    routers: &[SocketAddr],
    turn: usize,
    count: usize,
) -> Vec<SocketAddr> {
    let round = routers.iter().cycle().skip(turn);
    round.take(count.min(routers.len())).copied().collect()
}
