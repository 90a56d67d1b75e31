//! Telling and hearing of requests under which replicas ended.

use {
    super::{PeerLink, PeerMessage, SuspectsTold},
    crate::{
        direct::log_held_back,
        policy::{
            Moment, ReporterScope,
            suspects::{RequestDigest, SuspectReport},
        },
    },
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Requests in one datagram, so that it stays within some 1,200 bytes: up to 120 each.
const NOTES: usize = 8;

/// A request that is held back is told again after this long without a word of it, so that
/// a router that starts knows it before callers have long found it.
const TOLD_AGAIN: Duration = Duration::from_secs(1);

/// Requests that are told again at once.
const MOST_AGAIN: usize = 32;

/// When each request was last told, or heard of from a fellow.
pub(super) type SuspectTimes = HashMap<RequestDigest, Moment>;

impl PeerLink {
    /// Tells the routers of the own zone what was learnt here, and in turn what lasts.
    pub(super) async fn send_suspects(
        &self,
        now: Moment,
        addresses: &[SocketAddr],
    ) {
        let news = self.gateway.suspects().take_local_updates(now);
        let mut times = std::mem::take(&mut self.told.lock().expect("told lock").suspects);
        let notes = self.with_lasting(now, news, &mut times);
        self.told.lock().expect("told lock").suspects.extend(times);
        self.send_notes(notes, addresses).await;
    }

    /// What is told of suspects: some news, and of those that last what was not told lately.
    pub(super) fn with_lasting(
        &self,
        now: Moment,
        news: Vec<SuspectReport>,
        times: &mut SuspectTimes,
    ) -> Vec<SuspectReport> {
        let suspects = self.gateway.suspects();
        let lasting = suspects.requests_with_hold();
        times.retain(|request, _| lasting.contains(request));
        let mut notes = news;
        for note in &notes {
            times.insert(note.request, now);
        }
        let is_due = |request: &&RequestDigest| {
            let told = times.get(*request);
            told.is_none_or(|at| now.saturating_sub(*at) >= TOLD_AGAIN)
        };
        let due = lasting.iter().filter(is_due).take(MOST_AGAIN);
        let due: Vec<RequestDigest> = due.copied().collect();
        for request in &due {
            times.insert(*request, now);
        }
        notes.extend(suspects.reports_for(now, &due));
        notes
    }

    pub(super) async fn send_notes(
        &self,
        notes: Vec<SuspectReport>,
        addresses: &[SocketAddr],
    ) {
        let own = self.gateway.peers.own();
        for notes in notes.chunks(NOTES) {
            let told = SuspectsTold {
                zone: own.zone,
                teller: own.address,
                notes: notes.to_vec(),
            };
            self.send(&PeerMessage::Suspects(told), addresses).await;
        }
    }

    /// Takes in what another router knows. Whether fellows are to be told: it comes from
    /// another zone, from the router that speaks for it.
    pub(super) fn take_suspects(
        &self,
        from: SocketAddr,
        told: &SuspectsTold,
    ) -> bool {
        let now = self.gateway.now();
        let is_own_zone = told.zone == self.gateway.peers.own().zone;
        let scope = match is_own_zone {
            true => ReporterScope::Router,
            false => ReporterScope::Zone,
        };
        let held = self
            .gateway
            .suspects()
            .apply_reports(now, scope, &told.notes);
        for (request, hold) in held {
            log_held_back(now, request, &hold, "", &told.teller.to_string());
        }
        if is_own_zone {
            let mut state = self.told.lock().expect("told lock");
            for note in &told.notes {
                state.suspects.insert(note.request, now);
            }
        }
        !is_own_zone && from == told.teller
    }
}
