//! Taking in what other routers tell.

use {
    super::{
        Figures, NamedRouter, PeerLink, PeerMessage, RouterReport, ZoneSum, peer_link::router_name,
    },
    crate::{
        catalog::CatalogVersion,
        ops::MESSAGES_REFUSED,
        policy::{Moment, Teller, TellerScope, mix, stable_hash},
        wire::decode_payload,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 4096;

/// The pause after a datagram could not be read.
const READ_PAUSE: Duration = Duration::from_millis(10);

/// Routers of each other zone that are named to one that asks.
const NAMES_EACH: usize = 4;

/// Names in one datagram: some 11 bytes each.
const NAMES: usize = 100;

/// Only routers that spoke within this time are named.
const NAMED_AGE: Duration = Duration::from_secs(3);

impl PeerLink {
    /// Listens for as long as the process lives.
    pub(super) async fn listen(self: Arc<Self>) {
        let mut datagram = vec![0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut datagram).await {
                Ok((length, from)) => self.take(&datagram[..length], from).await,
                Err(error) => {
                    log::debug!("no datagram: {error}");
                    tokio::time::sleep(READ_PAUSE).await;
                }
            }
        }
    }

    async fn take(
        &self,
        datagram: &[u8],
        from: SocketAddr,
    ) {
        match decode_payload(datagram) {
            Ok(PeerMessage::Report(report)) => self.take_report(from, &report),
            Ok(PeerMessage::Sum(sum)) => {
                if self.take_sum(&sum) && from == sum.carrier {
                    let fellows = self.gateway.peers.in_zone();
                    self.send_datagram(datagram, "relay", &fellows).await;
                }
            }
            Ok(PeerMessage::Suspects(told)) => {
                if self.take_suspects(from, &told) {
                    let fellows = self.gateway.peers.in_zone();
                    self.send_datagram(datagram, "relay", &fellows).await;
                }
            }
            Ok(PeerMessage::Leaving(told)) => self.take_leaving(from, &told),
            Ok(PeerMessage::Evidence(told)) => self.take_evidence(from, &told),
            Ok(PeerMessage::Kept(told)) => {
                if self.take_kept(from, &told) {
                    let fellows = self.gateway.peers.in_zone();
                    self.send_datagram(datagram, "relay", &fellows).await;
                }
            }
            Ok(PeerMessage::Ask(asker)) => self.answer_ask(from, asker).await,
            Ok(PeerMessage::Names(names)) => {
                self.gateway.peers.learn(self.gateway.now(), &names);
            }
            Err(error) => {
                let code = error.code.number();
                metrics::counter!(MESSAGES_REFUSED, "code" => code.to_string()).increment(1);
                log::debug!(code = code, from = from.to_string().as_str(); "datagram refused: {error}");
            }
        }
    }

    /// Takes in what a router of the own zone reports. It is known by the address
    /// it sends from.
    fn take_report(
        &self,
        from: SocketAddr,
        report: &RouterReport,
    ) {
        let gateway = &self.gateway;
        let now = gateway.now();
        let is_own_zone = report.zone == gateway.peers.own().zone;
        let believed = gateway.replica_table().belief_age();
        if from != report.address || !is_own_zone || !gateway.peers.hear(now, report, believed) {
            return;
        }
        let teller = Teller {
            scope: TellerScope::Router,
            name: router_name(&report.address),
            source: report.incarnation,
        };
        self.hear_version(report.version);
        self.take_figures(now, teller, &report.figures);
    }

    /// Takes in what another zone has. False if that is known already.
    fn take_sum(
        &self,
        sum: &ZoneSum,
    ) -> bool {
        let gateway = &self.gateway;
        let now = gateway.now();
        if sum.zone == gateway.peers.own().zone || !self.zones().hear(now, sum) {
            return false;
        }
        let named = |address: &SocketAddr| NamedRouter {
            address: *address,
            zone: sum.zone,
        };
        gateway.peers.meet(now, named(&sum.carrier));
        for member in &sum.members {
            gateway.peers.meet(now, named(member));
        }
        let teller = Teller {
            scope: TellerScope::Zone,
            name: sum.zone,
            source: mix(stable_hash(&sum.carrier), sum.incarnation),
        };
        self.hear_version(sum.version);
        self.take_figures(now, teller, &sum.figures);
        true
    }

    /// Another router, or zone, says how far it has come.
    fn hear_version(
        &self,
        theirs: CatalogVersion,
    ) {
        if theirs.is_ahead_of(self.gateway.catalog.version()) {
            self.newer_heard.notify_one();
        } else {
            self.gateway.confirm_state();
        }
    }

    fn take_figures(
        &self,
        now: Moment,
        teller: Teller,
        figures: &Figures,
    ) {
        let mut replica_table = self.gateway.replica_table();
        replica_table.hear(now, teller, &figures.replicas);
        replica_table.hear_notes(now, teller.scope, &figures.notes);
        replica_table.hear_engines(&figures.engines);
        drop(replica_table);
        self.gateway.shares().hear(now, teller, &figures.accounts);
    }

    async fn answer_ask(
        &self,
        from: SocketAddr,
        asker: NamedRouter,
    ) {
        if from != asker.address {
            return;
        }
        let now = self.gateway.now();
        let peers = &self.gateway.peers;
        peers.meet(now, asker);
        let names = peers.names(now, NAMED_AGE, asker.zone, NAMES_EACH);
        for part in names.chunks(NAMES) {
            self.send(&PeerMessage::Names(part.to_vec()), &[from]).await;
        }
    }
}
