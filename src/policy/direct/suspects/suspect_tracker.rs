use {
    super::{
        CrashedAttempt, Hold, SuspectDigest, SuspectKind, Trial, TrialClaim, Verdict,
        last_answers::LastAnswers, suspect_table::SuspectTable, update_queue::UpdateQueue,
    },
    crate::policy::Moment,
    std::{collections::BTreeSet, time::Duration},
};

/// How long one is remembered after the last crash of a replica that was running it.
const RETENTION: Duration = Duration::from_secs(600);
/// The same for one whose crashes were enough for a hold.
const HELD_RETENTION: Duration = Duration::from_secs(3600);

/// How long an answer counts for what was answered: crashes that follow clear a request, as it may
/// happen to run at two replicas in a row as they crash, and are weak evidence against a part.
const ANSWER_VALIDITY: Duration = Duration::from_secs(60);

/// A request or part that is held back, as operators are shown it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldSuspect {
    pub digest: SuspectDigest,
    pub account: u32, // hash of the name of the account that sent it first
    pub hold: Hold,
}

/// A hold that a recorded crash leads to, or that was there before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashHold {
    pub digest: SuspectDigest,
    pub hold: Hold,
    pub is_new_crash: bool, // no other attempt, here or elsewhere, had shown it
}

/// The requests, or the parts of prompts, during which replicas crashed, at any router.
#[derive(Debug, Default)]
pub struct SuspectTracker {
    pub(super) kind: SuspectKind,
    pub(super) suspects: SuspectTable,
    pub(super) updates: UpdateQueue, // crashes and answers at this router
    pub(super) zone_updates: UpdateQueue, // the same at the routers of this zone
    pub(super) trial_updates: UpdateQueue, // trials that this router claims
    pub(super) zone_trial_updates: UpdateQueue, // the same of the routers of this zone
    pub(super) with_hold: BTreeSet<SuspectDigest>, // with enough crashes for a hold
    pub(super) answers: LastAnswers, // at this router
    exempt: BTreeSet<SuspectDigest>, // never held back, as the operator set
}

impl SuspectTracker {
    /// Creates a tracker without crashes.
    pub fn new(kind: SuspectKind) -> Self {
        Self {
            kind,
            ..Self::default()
        }
    }

    /// Sets what is never held back, by the operator's choice.
    pub fn set_exempt(
        &mut self,
        digests: BTreeSet<SuspectDigest>,
    ) {
        self.exempt = digests;
    }

    /// Whether any crash counts against this one.
    pub(super) fn is_suspected(
        &self,
        digest: SuspectDigest,
    ) -> bool {
        let suspect = self.suspects.get(digest);
        suspect.is_some_and(|suspect| suspect.counted_crashes() > 0)
    }

    /// Whether anything may be held back.
    pub fn has_holds(&self) -> bool {
        !self.with_hold.is_empty()
    }

    /// Records that a replica crashed while it ran a request of this router. Returns the hold of
    /// the request or part, if any.
    pub fn record_crash(
        &mut self,
        now: Moment,
        digest: SuspectDigest,
        account: u32,
        mut crash: CrashedAttempt,
    ) -> Option<CrashHold> {
        let was_answered = self.answers.is_recent(now, digest, ANSWER_VALIDITY);
        match self.kind {
            SuspectKind::Request => crash.is_cleared |= was_answered,
            SuspectKind::Part => {
                crash.is_strong &= !was_answered || self.with_hold.contains(&digest);
                crash.is_cleared |= self.answers.is_answered_since(digest, crash.crashed_at);
            }
        }
        let suspect = self
            .suspects
            .get_or_insert(account, digest, &self.with_hold);
        let is_new_crash = suspect.record(crash);
        if is_new_crash {
            self.queue_update(digest);
        }
        let hold = self.refresh_hold(digest)?;
        Some(CrashHold {
            digest,
            hold,
            is_new_crash,
        })
    }

    /// Whether a request may be sent, given its digest or those of the parts of its prompt. After
    /// a hold one request of the fleet is a trial, and others wait for its outcome; `may_claim`
    /// says whether this router may claim it, and `key` is the random key of such a claim. A
    /// request with several parts that are held back waits longer, so that requests with one of
    /// them are tried first.
    pub fn check(
        &mut self,
        now: Moment,
        digests: &[SuspectDigest],
        may_claim: bool,
        key: u32,
    ) -> Verdict {
        let mut held = self.holds(digests);
        if held.len() > 1 {
            held.iter_mut().for_each(|(_, hold)| *hold = hold.longer());
        }
        let waits = held.iter().map(|(digest, hold)| {
            let trial = self.suspects.get(*digest).and_then(|it| it.trial);
            let trial_left = trial.map_or(Duration::ZERO, |it| it.remaining(now, self.kind));
            hold.remaining(now).max(trial_left)
        });
        match waits.max() {
            None => Verdict::Free,
            Some(wait) if !wait.is_zero() => Verdict::Held(wait),
            Some(_) if !may_claim => Verdict::Held(self.kind.trial_time()),
            Some(_) => Verdict::Claimed(self.claim(now, &held, key)),
        }
    }

    /// The holds of those that are not exempt.
    fn holds(
        &self,
        digests: &[SuspectDigest],
    ) -> Vec<(SuspectDigest, Hold)> {
        let held = digests.iter().filter_map(|digest| {
            let suspect = self.suspects.get(*digest)?;
            let is_exempt = self.exempt.contains(digest);
            let hold = suspect.hold(self.kind).filter(|_| !is_exempt)?;
            Some((*digest, hold))
        });
        held.collect()
    }

    fn claim(
        &mut self,
        now: Moment,
        held: &[(SuspectDigest, Hold)],
        key: u32,
    ) -> TrialClaim {
        let mut claim = TrialClaim::default();
        let claimed_at = now.into();
        for (digest, _) in held {
            if let Some(suspect) = self.suspects.get_mut(*digest) {
                suspect.record_trial(now, self.kind, Trial { key, claimed_at });
                claim.trials.push((self.kind, *digest, key));
                self.trial_updates.push(*digest);
                self.zone_trial_updates.push(*digest);
            }
        }
        claim
    }

    /// Whether a trial that this router claimed still stands: no other router has claimed it with
    /// a lower key, no replica has crashed since, and no answer has come.
    pub(super) fn is_claim_standing(
        &self,
        digest: SuspectDigest,
        key: u32,
    ) -> bool {
        let trial = self.suspects.get(digest).and_then(|it| it.trial);
        trial.is_some_and(|trial| trial.key == key)
    }

    /// Records that a request was answered, or that a part was: a replica lived on after it had
    /// begun to answer. Returns whether so much had counted against it that others are told.
    pub fn record_answered(
        &mut self,
        now: Moment,
        digest: SuspectDigest,
    ) -> bool {
        self.answers.record(now, digest);
        let Some(suspect) = self.suspects.get_mut(digest) else {
            return false;
        };
        let is_told = suspect.clear() >= self.least_told();
        self.refresh_hold(digest);
        if is_told {
            self.queue_update(digest);
        }
        is_told
    }

    /// The number of uncleared crashes from which on others are told that they are cleared: one
    /// fewer than a hold follows from. With fewer it would make no difference to them.
    pub(super) fn least_told(&self) -> usize {
        self.kind.least_crashes() - 1
    }

    /// What is held back now, without what is exempt.
    pub fn held(
        &self,
        now: Moment,
    ) -> Vec<HeldSuspect> {
        let held = self.with_hold.iter().filter_map(|digest| {
            let suspect = self.suspects.get(*digest)?;
            let hold = suspect.hold(self.kind)?;
            let is_held = !hold.remaining(now).is_zero() && !self.exempt.contains(digest);
            is_held.then_some(HeldSuspect {
                digest: *digest,
                account: suspect.account,
                hold,
            })
        });
        held.collect()
    }

    /// Removes what is past its retention time.
    pub fn remove_expired(
        &mut self,
        now: Moment,
    ) {
        let with_hold = &self.with_hold;
        self.suspects.retain(|digest, suspect| {
            let retention = match with_hold.contains(&digest) {
                true => HELD_RETENTION,
                false => RETENTION,
            };
            !suspect
                .last_crash()
                .plus(retention)
                .remaining(now)
                .is_zero()
        });
        self.with_hold
            .retain(|digest| self.suspects.get(*digest).is_some());
    }

    /// Computes a hold anew after a change, and returns it.
    pub(super) fn refresh_hold(
        &mut self,
        digest: SuspectDigest,
    ) -> Option<Hold> {
        let suspect = self.suspects.get(digest)?;
        let hold = suspect.hold(self.kind);
        match hold {
            Some(_) => self.with_hold.insert(digest),
            None => self.with_hold.remove(&digest),
        };
        hold
    }
}
