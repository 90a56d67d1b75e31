//! Exchange between routers of the evidence against requests or parts of prompts.

use {
    super::{
        CrashReport, CrashedAttempt, Hold, SignedMoment, SuspectDigest, SuspectKind, SuspectReport,
        SuspectTracker, Trial, TrialReport,
    },
    crate::policy::{Moment, ReporterScope},
    std::collections::BTreeSet,
};

impl SuspectTracker {
    /// Queues an update on what this router got new evidence of, for the routers of this zone and
    /// for other zones.
    pub(super) fn queue_update(
        &mut self,
        digest: SuspectDigest,
    ) {
        self.updates.push(digest);
        self.zone_updates.push(digest);
    }

    /// Applies reports of other routers. Returns what is held back because of them and was not
    /// before, or is held back for more crashes than before.
    pub fn apply_reports(
        &mut self,
        now: Moment,
        scope: ReporterScope,
        reports: &[SuspectReport],
    ) -> Vec<(SuspectDigest, Hold)> {
        let newly_held = reports.iter().filter_map(|report| {
            let hold = self.apply_one(now, scope, report)?;
            Some((report.digest, hold))
        });
        newly_held.collect()
    }

    fn apply_one(
        &mut self,
        now: Moment,
        scope: ReporterScope,
        report: &SuspectReport,
    ) -> Option<Hold> {
        let received = report.crashes.iter().map(|crash| crash.received_at(now));
        let crashes: Vec<CrashedAttempt> = received
            .map(|crash| CrashedAttempt {
                is_cleared: crash.is_cleared || self.is_answered_since(report.digest, &crash),
                ..crash
            })
            .collect();
        let suspect = self
            .suspects
            .get_or_insert(report.account, report.digest, &self.with_hold);
        let before = suspect.hold(self.kind);
        let added = crashes
            .iter()
            .filter(|crash| suspect.record(**crash))
            .count();
        let counted_there = report.crashes.iter().filter(|crash| !crash.is_cleared);
        let is_cleared_here = counted_there
            .clone()
            .any(|crash| suspect.has_cleared(crash.key));
        let counted_there = counted_there.count();
        let hold = self.refresh_hold(report.digest);
        if is_cleared_here && counted_there >= self.least_told() {
            self.queue_update(report.digest);
        }
        if added > 0 && scope == ReporterScope::Router {
            self.zone_updates.push(report.digest);
        }
        hold.filter(|hold| before.is_none_or(|before| before.crashes < hold.crashes))
    }

    /// Whether this router knows that a replica lived on under a part after a crash that another
    /// router counts.
    fn is_answered_since(
        &self,
        part: SuspectDigest,
        crash: &CrashedAttempt,
    ) -> bool {
        self.kind == SuspectKind::Part && self.answers.is_answered_since(part, crash.crashed_at)
    }

    /// The next updates to send to the routers of this zone: evidence of this router.
    pub fn take_local_updates(
        &mut self,
        now: Moment,
    ) -> Vec<SuspectReport> {
        let due = self.updates.take_due();
        self.reports_for(now, &due)
    }

    /// The next updates to send to other zones: evidence of the routers of this zone.
    pub fn take_zone_updates(
        &mut self,
        now: Moment,
    ) -> Vec<SuspectReport> {
        let due = self.zone_updates.take_due();
        self.reports_for(now, &due)
    }

    /// Applies a trial that another router claims.
    pub fn apply_trial(
        &mut self,
        now: Moment,
        scope: ReporterScope,
        report: &TrialReport,
    ) {
        let Some(suspect) = self.suspects.get_mut(report.digest) else {
            return;
        };
        let trial = Trial {
            key: report.key,
            claimed_at: SignedMoment::before(now, report.claimed_ago_ms),
        };
        if suspect.record_trial(now, self.kind, trial) && scope == ReporterScope::Router {
            self.zone_trial_updates.push(report.digest);
        }
    }

    /// The trials that this router claims, to be sent to the routers of this zone.
    pub fn take_local_trials(
        &mut self,
        now: Moment,
    ) -> Vec<TrialReport> {
        let due = self.trial_updates.take_due();
        self.trial_reports(now, &due)
    }

    /// The trials that routers of this zone claim, to be sent to other zones.
    pub fn take_zone_trials(
        &mut self,
        now: Moment,
    ) -> Vec<TrialReport> {
        let due = self.zone_trial_updates.take_due();
        self.trial_reports(now, &due)
    }

    fn trial_reports(
        &self,
        now: Moment,
        digests: &[SuspectDigest],
    ) -> Vec<TrialReport> {
        let known = digests.iter().filter_map(|digest| {
            let trial = self.suspects.get(*digest)?.trial?;
            Some(TrialReport {
                kind: self.kind,
                digest: *digest,
                key: trial.key,
                claimed_ago_ms: trial.claimed_at.ago_ms(now),
            })
        });
        known.collect()
    }

    /// What is held back or was. It is sent repeatedly, for routers that have just started.
    pub fn with_hold(&self) -> &BTreeSet<SuspectDigest> {
        &self.with_hold
    }

    /// What is known of these, to be sent to other routers.
    pub fn reports_for(
        &self,
        now: Moment,
        digests: &[SuspectDigest],
    ) -> Vec<SuspectReport> {
        let known = digests.iter().filter_map(|digest| {
            let suspect = self.suspects.get(*digest)?;
            Some(SuspectReport {
                digest: *digest,
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
