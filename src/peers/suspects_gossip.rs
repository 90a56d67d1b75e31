//! Exchanges requests and parts of prompts that are suspected of crashing replicas.

use {
    super::{PeerLink, PeerMessage, SuspectsMessage},
    crate::{
        direct::log_held_back,
        policy::{
            Moment, ReporterScope,
            suspects::{SuspectDigest, SuspectKind, SuspectReport, SuspectTracker},
        },
    },
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Crashes in one datagram. At some 18 bytes each, and 14 for each request or part, it stays below
/// some 1,200 bytes.
const MAX_CRASHES: usize = 48;

/// Requests or parts in one datagram.
const MAX_REPORTS: usize = 8;

/// What is or was held back is sent again when no router of the zone has sent it for
/// this long, so that a router that has just started learns of it soon.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Requests or parts that are sent again in one round.
const MAX_RESENT: usize = 32;

/// When each was last sent, or received from a router of the own zone.
type SuspectTimes = HashMap<SuspectDigest, Moment>;

/// The same by kind.
#[derive(Default)]
pub(super) struct SentSuspects {
    requests: SuspectTimes,
    parts: SuspectTimes,
}

impl SentSuspects {
    fn extend(
        &mut self,
        other: Self,
    ) {
        self.requests.extend(other.requests);
        self.parts.extend(other.parts);
    }

    fn of(
        &mut self,
        kind: SuspectKind,
    ) -> &mut SuspectTimes {
        match kind {
            SuspectKind::Request => &mut self.requests,
            SuspectKind::Part => &mut self.parts,
        }
    }
}

impl PeerLink {
    /// Sends new suspicions to the routers of the own zone, and older ones that are due to be
    /// sent again.
    pub(super) async fn send_suspects(
        &self,
        now: Moment,
        addresses: &[SocketAddr],
    ) {
        let mut times = std::mem::take(&mut self.sent.lock().expect("sent lock").suspects);
        let reports = self.due_reports(now, &mut times, SuspectTracker::take_local_updates);
        self.sent.lock().expect("sent lock").suspects.extend(times);
        for (kind, reports) in reports {
            self.send_suspect_reports(kind, &reports, addresses).await;
        }
        let trials = self.take_trials(now, SuspectTracker::take_local_trials);
        self.send_trials(&trials, addresses).await;
    }

    /// Whether a message speaks for one router of the own zone or for another zone, and whether it
    /// is to be relayed within the own zone, as it came directly from its author in another zone.
    pub(super) fn scope_of(
        &self,
        from: SocketAddr,
        zone: u32,
        reporter: SocketAddr,
    ) -> (ReporterScope, bool) {
        match zone == self.gateway.peers.own().zone {
            true => (ReporterScope::Router, false),
            false => (ReporterScope::Zone, from == reporter),
        }
    }

    /// The suspicions for the zones to which this router represents its own, if any. What is new is
    /// dropped if there are none, as another router sends it.
    pub(super) fn take_zone_suspects(
        &self,
        now: Moment,
        represents_zone: bool,
    ) -> Vec<(SuspectKind, Vec<SuspectReport>)> {
        let mut times = std::mem::take(&mut self.sent.lock().expect("sent lock").zone_suspects);
        let reports = self.due_reports(now, &mut times, SuspectTracker::take_zone_updates);
        if !represents_zone {
            return Vec::new();
        }
        self.sent.lock().expect("sent lock").zone_suspects = times;
        reports
    }

    /// The updates that `take` returns, and what is due to be sent again.
    fn due_reports(
        &self,
        now: Moment,
        times: &mut SentSuspects,
        take: fn(&mut SuspectTracker, Moment) -> Vec<SuspectReport>,
    ) -> Vec<(SuspectKind, Vec<SuspectReport>)> {
        let mut suspects = self.gateway.suspects();
        let reports = SuspectKind::ALL.map(|kind| {
            let tracker = suspects.tracker(kind);
            let updates = take(tracker, now);
            (kind, with_refresh(tracker, now, updates, times.of(kind)))
        });
        reports.into()
    }

    pub(super) async fn send_suspect_reports(
        &self,
        kind: SuspectKind,
        reports: &[SuspectReport],
        addresses: &[SocketAddr],
    ) {
        let own = self.gateway.peers.own();
        for part in datagram_parts(reports) {
            let message = SuspectsMessage {
                zone: own.zone,
                reporter: own.address,
                reports: part.to_vec(),
            };
            let message = match kind {
                SuspectKind::Request => PeerMessage::Suspects(message),
                SuspectKind::Part => PeerMessage::SuspectParts(message),
            };
            self.send(&message, addresses).await;
        }
    }

    /// Applies the suspicions of another router. Returns whether the message is to be relayed
    /// within the own zone: it came directly from its author in another zone.
    pub(super) fn apply_suspects(
        &self,
        from: SocketAddr,
        kind: SuspectKind,
        message: &SuspectsMessage,
    ) -> bool {
        let now = self.gateway.now();
        let (scope, is_relayed) = self.scope_of(from, message.zone, message.reporter);
        let held =
            self.gateway
                .suspects()
                .tracker(kind)
                .apply_reports(now, scope, &message.reports);
        for (digest, hold) in held {
            log_held_back(now, digest, &hold, "", &message.reporter.to_string());
        }
        if scope == ReporterScope::Router {
            let mut sent = self.sent.lock().expect("sent lock");
            let times = sent.suspects.of(kind);
            times.extend(message.reports.iter().map(|report| (report.digest, now)));
        }
        is_relayed
    }
}

/// Adds to new reports those on what is or was held back and is due to be sent again. `times`
/// says when each was last sent, and is updated.
fn with_refresh(
    tracker: &SuspectTracker,
    now: Moment,
    new_reports: Vec<SuspectReport>,
    times: &mut SuspectTimes,
) -> Vec<SuspectReport> {
    let lasting = tracker.with_hold();
    times.retain(|digest, _| lasting.contains(digest));
    let mut reports = new_reports;
    for report in &reports {
        times.insert(report.digest, now);
    }
    let is_due = |digest: &&SuspectDigest| {
        let sent = times.get(*digest);
        sent.is_none_or(|at| now.saturating_sub(*at) >= RESEND_INTERVAL)
    };
    let due = lasting.iter().filter(is_due).take(MAX_RESENT);
    let due: Vec<SuspectDigest> = due.copied().collect();
    for digest in &due {
        times.insert(*digest, now);
    }
    reports.extend(tracker.reports_for(now, &due));
    reports
}

/// Splits reports into what one datagram holds.
fn datagram_parts(reports: &[SuspectReport]) -> Vec<&[SuspectReport]> {
    let mut parts = Vec::new();
    let mut rest = reports;
    while !rest.is_empty() {
        let mut crashes = 0;
        let fitting = rest.iter().take(MAX_REPORTS).take_while(|report| {
            crashes += report.crashes.len();
            crashes <= MAX_CRASHES
        });
        let (part, later) = rest.split_at(fitting.count().max(1));
        parts.push(part);
        rest = later;
    }
    parts
}
