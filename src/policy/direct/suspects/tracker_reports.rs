//! Exchange between routers of the evidence against requests.

use {
    super::{CrashReport, Hold, RequestDigest, SuspectReport, SuspectTracker, suspect::Suspect},
    crate::policy::{Moment, ReporterScope},
    std::collections::{BTreeMap, BTreeSet},
};

/// How often each update is sent, as a datagram may be lost.
const SENDS_PER_UPDATE: u8 = 2;

/// Requests on which updates are sent at once, in some four datagrams.
const MAX_UPDATES_AT_ONCE: usize = 32;

impl SuspectTracker {
    /// Queues an update on a request of which this router got new evidence, for the routers of
    /// this zone and for other zones.
    pub(super) fn queue_update(
        &mut self,
        request: RequestDigest,
    ) {
        self.updates.insert(request, SENDS_PER_UPDATE);
        self.zone_updates.insert(request, SENDS_PER_UPDATE);
    }

    /// Applies reports of other routers. Returns the requests that are held back because of
    /// them and were not before, or are held back for more crashes than before.
    pub fn apply_reports(
        &mut self,
        now: Moment,
        scope: ReporterScope,
        reports: &[SuspectReport],
    ) -> Vec<(RequestDigest, Hold)> {
        let newly_held = reports.iter().filter_map(|report| {
            let hold = self.apply_one(now, scope, report)?;
            Some((report.request, hold))
        });
        newly_held.collect()
    }

    fn apply_one(
        &mut self,
        now: Moment,
        scope: ReporterScope,
        report: &SuspectReport,
    ) -> Option<Hold> {
        self.evict_for(report.account, report.request);
        let suspect = self.suspects.entry(report.request);
        let suspect = suspect.or_insert_with(|| Suspect::new(report.account));
        let before = suspect.hold();
        let is_cleared_here = report
            .crashes
            .iter()
            .any(|crash| suspect.has_cleared(crash.key, crash.is_cleared));
        let crashes = report.crashes.iter().map(|crash| crash.received_at(now));
        let added = crashes.filter(|crash| suspect.record(*crash)).count();
        let hold = self.refresh_hold(report.request);
        if is_cleared_here {
            self.queue_update(report.request);
        }
        if added > 0 && scope == ReporterScope::Router {
            self.zone_updates.insert(report.request, SENDS_PER_UPDATE);
        }
        hold.filter(|hold| before.is_none_or(|before| before.crashes < hold.crashes))
    }

    /// The next updates to send to the routers of this zone: evidence of this router.
    pub fn take_local_updates(
        &mut self,
        now: Moment,
    ) -> Vec<SuspectReport> {
        let due = take_due(&mut self.updates);
        self.reports_for(now, &due)
    }

    /// The next updates to send to other zones: evidence of the routers of this zone.
    pub fn take_zone_updates(
        &mut self,
        now: Moment,
    ) -> Vec<SuspectReport> {
        let due = take_due(&mut self.zone_updates);
        self.reports_for(now, &due)
    }

    /// The requests that are held back or were. They are sent repeatedly, for routers that
    /// have just started.
    pub fn requests_with_hold(&self) -> &BTreeSet<RequestDigest> {
        &self.with_hold
    }

    /// What is known of these requests, to be sent to other routers.
    pub fn reports_for(
        &self,
        now: Moment,
        requests: &[RequestDigest],
    ) -> Vec<SuspectReport> {
        let known = requests.iter().filter_map(|request| {
            let suspect = self.suspects.get(request)?;
            Some(SuspectReport {
                request: *request,
                account: suspect.account,
                crashes: suspect
                    .crashes
                    .iter()
                    .map(|crash| CrashReport::new(now, crash))
                    .collect(),
            })
        });
        known.collect()
    }
}

/// The next requests to send updates on, each with one send fewer remaining from now on.
fn take_due(updates: &mut BTreeMap<RequestDigest, u8>) -> Vec<RequestDigest> {
    let due: Vec<RequestDigest> = updates.keys().copied().take(MAX_UPDATES_AT_ONCE).collect();
    for request in &due {
        if let Some(remaining) = updates.get_mut(request) {
            *remaining -= 1;
        }
    }
    updates.retain(|_, remaining| *remaining > 0);
    due
}
