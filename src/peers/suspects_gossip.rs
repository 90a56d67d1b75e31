//! Exchanges requests that are suspected of crashing replicas.

use {
    super::{PeerLink, PeerMessage, SuspectsMessage},
    crate::{
        direct::log_held_back,
        policy::{
            Moment, ReporterScope,
            suspects::{RequestDigest, SuspectReport},
        },
    },
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Requests in one datagram. At up to 120 bytes each it stays below some 1,200 bytes.
const MAX_REPORTS: usize = 8;

/// A request that is or was held back is sent again when no router of the zone has sent it for
/// this long, so that a router that has just started learns of it soon.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Requests that are sent again in one round.
const MAX_RESENT: usize = 32;

/// When each request was last sent, or received from a router of the own zone.
pub(super) type SuspectTimes = HashMap<RequestDigest, Moment>;

impl PeerLink {
    /// Sends new suspicions to the routers of the own zone, and older ones that are due to be
    /// sent again.
    pub(super) async fn send_suspects(
        &self,
        now: Moment,
        addresses: &[SocketAddr],
    ) {
        let new_reports = self.gateway.suspects().take_local_updates(now);
        let mut times = std::mem::take(&mut self.sent.lock().expect("sent lock").suspects);
        let reports = self.with_refresh(now, new_reports, &mut times);
        self.sent.lock().expect("sent lock").suspects.extend(times);
        self.send_suspect_reports(reports, addresses).await;
    }

    /// Adds to new reports those on requests that are or were held back and are due to be sent
    /// again. `times` says when each was last sent, and is updated.
    pub(super) fn with_refresh(
        &self,
        now: Moment,
        new_reports: Vec<SuspectReport>,
        times: &mut SuspectTimes,
    ) -> Vec<SuspectReport> {
        let suspects = self.gateway.suspects();
        let lasting = suspects.requests_with_hold();
        times.retain(|request, _| lasting.contains(request));
        let mut reports = new_reports;
        for report in &reports {
            times.insert(report.request, now);
        }
        let is_due = |request: &&RequestDigest| {
            let sent = times.get(*request);
            sent.is_none_or(|at| now.saturating_sub(*at) >= RESEND_INTERVAL)
        };
        let due = lasting.iter().filter(is_due).take(MAX_RESENT);
        let due: Vec<RequestDigest> = due.copied().collect();
        for request in &due {
            times.insert(*request, now);
        }
        reports.extend(suspects.reports_for(now, &due));
        reports
    }

    pub(super) async fn send_suspect_reports(
        &self,
        reports: Vec<SuspectReport>,
        addresses: &[SocketAddr],
    ) {
        let own = self.gateway.peers.own();
        for part in reports.chunks(MAX_REPORTS) {
            let message = SuspectsMessage {
                zone: own.zone,
                reporter: own.address,
                reports: part.to_vec(),
            };
            self.send(&PeerMessage::Suspects(message), addresses).await;
        }
    }

    /// Applies the suspicions of another router. Returns whether the message is to be relayed
    /// within the own zone: it came directly from its author in another zone.
    pub(super) fn apply_suspects(
        &self,
        from: SocketAddr,
        message: &SuspectsMessage,
    ) -> bool {
        let now = self.gateway.now();
        let is_own_zone = message.zone == self.gateway.peers.own().zone;
        let scope = match is_own_zone {
            true => ReporterScope::Router,
            false => ReporterScope::Zone,
        };
        let held = self
            .gateway
            .suspects()
            .apply_reports(now, scope, &message.reports);
        for (request, hold) in held {
            log_held_back(now, request, &hold, "", &message.reporter.to_string());
        }
        if is_own_zone {
            let mut sent = self.sent.lock().expect("sent lock");
            for report in &message.reports {
                sent.suspects.insert(report.request, now);
            }
        }
        !is_own_zone && from == message.reporter
    }
}
