use {
    super::{
        CrashHold, CrashedAttempt, SuspectDigest, SuspectKind, SuspectTracker, TrialClaim, Verdict,
    },
    crate::policy::Moment,
    std::collections::BTreeSet,
};

/// What a router knows of crashes of replicas: by whole request, and by part of prompts.
#[derive(Debug)]
pub struct Suspects {
    requests: SuspectTracker,
    parts: SuspectTracker,
}

impl Suspects {
    /// Without crashes. What is in `exempt` is never held back.
    pub fn new(exempt: BTreeSet<SuspectDigest>) -> Self {
        let mut suspects = Self {
            requests: SuspectTracker::new(SuspectKind::Request),
            parts: SuspectTracker::new(SuspectKind::Part),
        };
        suspects.set_exempt(exempt);
        suspects
    }

    /// Sets the requests and parts that are never held back, by the operator's choice.
    pub fn set_exempt(
        &mut self,
        digests: BTreeSet<SuspectDigest>,
    ) {
        self.parts.set_exempt(digests.clone());
        self.requests.set_exempt(digests);
    }

    /// What is known by request, or by part.
    pub fn tracker(
        &mut self,
        kind: SuspectKind,
    ) -> &mut SuspectTracker {
        match kind {
            SuspectKind::Request => &mut self.requests,
            SuspectKind::Part => &mut self.parts,
        }
    }

    /// Whether anything may be held back.
    pub fn has_holds(&self) -> bool {
        self.requests.has_holds() || self.parts.has_holds()
    }

    /// Whether a request with these parts in its prompt may be sent to a replica. `may_claim` says
    /// whether this router may claim a trial, and `key` is the random key of such a claim.
    pub fn check(
        &mut self,
        now: Moment,
        request: SuspectDigest,
        parts: &[SuspectDigest],
        may_claim: bool,
        key: u32,
    ) -> Verdict {
        let mut claim = match self.requests.check(now, &[request], may_claim, key) {
            Verdict::Held(time) => return Verdict::Held(time),
            Verdict::Free => TrialClaim::default(),
            Verdict::Claimed(claim) => claim,
        };
        match self.parts.check(now, parts, may_claim, key) {
            Verdict::Held(time) => return Verdict::Held(time),
            Verdict::Free => {}
            Verdict::Claimed(of_parts) => claim.trials.extend(of_parts.trials),
        }
        match claim.trials.is_empty() {
            true => Verdict::Free,
            false => Verdict::Claimed(claim),
        }
    }

    /// Whether all trials that this router claimed still stand, after the wait for other routers.
    pub fn is_claim_standing(
        &mut self,
        claim: &TrialClaim,
    ) -> bool {
        let mut trials = claim.trials.iter();
        trials.all(|(kind, digest, key)| self.tracker(*kind).is_claim_standing(*digest, *key))
    }

    /// Records that a replica crashed while it ran a request of this router with these parts in
    /// its prompt. Where the request itself is suspected, this says less about its parts. Returns
    /// the holds of the request and the parts.
    pub fn record_crash(
        &mut self,
        now: Moment,
        request: SuspectDigest,
        parts: &[SuspectDigest],
        account: u32,
        crash: CrashedAttempt,
    ) -> Vec<CrashHold> {
        let is_repeat = self.requests.is_suspected(request);
        let against_part = crash.against_part().map(|crash| CrashedAttempt {
            is_strong: crash.is_strong && !is_repeat,
            ..crash
        });
        let mut holds = Vec::new();
        if let Some(crash) = against_part {
            for part in parts {
                holds.extend(self.parts.record_crash(now, *part, account, crash));
            }
        }
        holds.extend(self.requests.record_crash(now, request, account, crash));
        holds
    }

    /// Removes what is past its retention time.
    pub fn remove_expired(
        &mut self,
        now: Moment,
    ) {
        self.requests.remove_expired(now);
        self.parts.remove_expired(now);
    }
}
