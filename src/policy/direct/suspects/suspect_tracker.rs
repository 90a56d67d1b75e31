use {
    super::{
        CrashedAttempt, Hold, RequestDigest, answered_requests::AnsweredRequests, suspect::Suspect,
    },
    crate::policy::Moment,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::Duration,
    },
};

/// Requests that are remembered, in all and for one client account, at some 300 bytes each.
const MAX_REQUESTS: usize = 4096;
const MAX_PER_ACCOUNT: usize = 512;

/// How long a request is remembered after the last crash of a replica that was running it.
const RETENTION: Duration = Duration::from_secs(600);
/// The same for a request whose crashes were enough for a hold.
const HELD_RETENTION: Duration = Duration::from_secs(3600);

/// A request that is held back, as operators are shown it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldRequest {
    pub request: RequestDigest,
    pub account: u32, // hash of its name
    pub hold: Hold,
}

/// The requests during which replicas crashed, at any router.
#[derive(Debug, Default)]
pub struct SuspectTracker {
    pub(super) suspects: HashMap<RequestDigest, Suspect>,
    pub(super) updates: BTreeMap<RequestDigest, u8>, // of this router, with remaining sends
    pub(super) zone_updates: BTreeMap<RequestDigest, u8>, // of this zone, with remaining sends
    pub(super) with_hold: BTreeSet<RequestDigest>,   // with enough crashes for a hold
    answered: AnsweredRequests,                      // at this router
    exempt: BTreeSet<RequestDigest>,                 // never held back, as the operator set
}

impl SuspectTracker {
    /// Creates a tracker without crashes. Requests in `exempt` are never held back.
    pub fn new(exempt: BTreeSet<RequestDigest>) -> Self {
        Self {
            exempt,
            ..Self::default()
        }
    }

    /// Sets the requests that are never held back, by the operator's choice.
    pub fn set_exempt(
        &mut self,
        requests: BTreeSet<RequestDigest>,
    ) {
        self.exempt = requests;
    }

    /// Whether any request may be held back.
    pub fn has_holds(&self) -> bool {
        !self.with_hold.is_empty()
    }

    /// Records that a replica crashed while it ran a request of this router. Returns the hold
    /// that follows, if any.
    pub fn record_crash(
        &mut self,
        now: Moment,
        request: RequestDigest,
        account: u32,
        mut crash: CrashedAttempt,
    ) -> Option<Hold> {
        crash.is_cleared |= self.answered.is_answered(now, request);
        self.evict_for(account, request);
        let suspect = self.suspects.entry(request);
        let suspect = suspect.or_insert_with(|| Suspect::new(account));
        suspect.record(crash);
        self.queue_update(request);
        self.refresh_hold(request)
    }

    /// How long a request is still held back; `None` lets it through. The first one after a hold
    /// is a trial, and others with the same digest wait for its end.
    pub fn hold_remaining(
        &mut self,
        now: Moment,
        request: RequestDigest,
    ) -> Option<Duration> {
        let suspect = self.suspects.get_mut(&request)?;
        let hold = suspect.hold()?;
        if self.exempt.contains(&request) {
            return None;
        }
        let remaining = hold.remaining(now, suspect.trial);
        if remaining.is_none() {
            suspect.trial = Some(now);
        }
        remaining
    }

    /// Records that a request got a complete answer. Returns whether crashes had counted
    /// against it.
    pub fn record_answered(
        &mut self,
        now: Moment,
        request: RequestDigest,
    ) -> bool {
        self.answered.record(now, request);
        let suspect = self.suspects.get_mut(&request);
        let is_cleared = suspect.is_some_and(Suspect::clear);
        if is_cleared {
            self.refresh_hold(request);
            self.queue_update(request);
        }
        is_cleared
    }

    /// The requests that are held back now, without the exempt ones.
    pub fn held_requests(
        &self,
        now: Moment,
    ) -> Vec<HeldRequest> {
        let held = self.with_hold.iter().filter_map(|request| {
            let suspect = self.suspects.get(request)?;
            let hold = suspect
                .hold()
                .filter(|hold| hold.remaining(now, None).is_some())?;
            let is_held = !self.exempt.contains(request);
            is_held.then_some(HeldRequest {
                request: *request,
                account: suspect.account,
                hold,
            })
        });
        held.collect()
    }

    /// Removes requests whose retention time is over.
    pub fn remove_expired(
        &mut self,
        now: Moment,
    ) {
        let with_hold = &self.with_hold;
        self.suspects.retain(|request, suspect| {
            let retention = match with_hold.contains(request) {
                true => HELD_RETENTION,
                false => RETENTION,
            };
            !suspect
                .last_crash()
                .plus(retention)
                .remaining(now)
                .is_zero()
        });
        let known = &self.suspects;
        self.with_hold.retain(|request| known.contains_key(request));
    }

    /// Computes a request's hold anew after a change, and returns it.
    pub(super) fn refresh_hold(
        &mut self,
        request: RequestDigest,
    ) -> Option<Hold> {
        let suspect = self.suspects.get(&request)?;
        let hold = suspect.hold();
        match hold {
            Some(_) => self.with_hold.insert(request),
            None => self.with_hold.remove(&request),
        };
        hold
    }

    /// Evicts a request if there is no place for one more of this account: one of its own if
    /// it is at its limit, else one of the account that has the most. The request with the
    /// least evidence against it goes first.
    pub(super) fn evict_for(
        &mut self,
        account: u32,
        request: RequestDigest,
    ) {
        if self.suspects.contains_key(&request) || self.suspects.len() < MAX_PER_ACCOUNT {
            return;
        }
        let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
        for suspect in self.suspects.values() {
            *counts.entry(suspect.account).or_default() += 1;
        }
        let most = counts.iter().max_by_key(|(_, count)| **count);
        let full = match most {
            _ if counts.get(&account) >= Some(&MAX_PER_ACCOUNT) => account,
            Some((most, _)) if self.suspects.len() >= MAX_REQUESTS => *most,
            _ => return,
        };
        let of_account = self.suspects.iter().filter(|(_, it)| it.account == full);
        let least = of_account.min_by_key(|(request, suspect)| {
            let crashes = suspect.hold().map_or(0, |hold| hold.crashes);
            (
                crashes,
                suspect.is_suspected(),
                suspect.last_crash(),
                **request,
            )
        });
        if let Some(request) = least.map(|(request, _)| *request) {
            self.suspects.remove(&request);
            self.with_hold.remove(&request);
        }
    }
}
