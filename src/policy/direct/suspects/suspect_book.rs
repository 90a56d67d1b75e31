use {
    super::{Hold, RequestDigest, RunEnd, answered::Answered, suspect::Suspect},
    crate::policy::Moment,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::Duration,
    },
};

/// Requests that are remembered, and of one client account: some 300 bytes each.
const MOST: usize = 4096;
const MOST_OF_ACCOUNT: usize = 512;

/// A request that is not held back is forgotten this long after the last replica ended
/// under it, and one that was once held back after the second time.
const FORGOTTEN: Duration = Duration::from_secs(600);
const HELD_FORGOTTEN: Duration = Duration::from_secs(3600);

/// A request that is held back, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldRequest {
    pub request: RequestDigest,
    pub account: u32, // short name
    pub hold: Hold,
}

/// The requests under which replicas ended, at any router.
#[derive(Debug, Default)]
pub struct SuspectBook {
    pub(super) suspects: HashMap<RequestDigest, Suspect>,
    pub(super) news: BTreeMap<RequestDigest, u8>, // learnt here: tellings that are left
    pub(super) zone_news: BTreeMap<RequestDigest, u8>, // learnt in the zone
    pub(super) lasting: BTreeSet<RequestDigest>,  // with enough ends to be held back
    answers: Answered,                            // given here
    let_through: BTreeSet<RequestDigest>,         // by the operator
}

impl SuspectBook {
    /// A book that knows nothing against any request.
    pub fn new(let_through: BTreeSet<RequestDigest>) -> Self {
        Self {
            let_through,
            ..Self::default()
        }
    }

    /// Requests that the operator lets through whatever ended under them.
    pub fn let_through(
        &mut self,
        requests: BTreeSet<RequestDigest>,
    ) {
        self.let_through = requests;
    }

    /// Whether any request may be held back.
    pub fn holds_any(&self) -> bool {
        !self.lasting.is_empty()
    }

    /// A replica ended under a request that this router had sent there. The hold that
    /// follows, if one does.
    pub fn ended(
        &mut self,
        now: Moment,
        request: RequestDigest,
        account: u32,
        mut end: RunEnd,
    ) -> Option<Hold> {
        end.is_excused |= self.answers.is_answered(now, request);
        self.make_room(account, request);
        let suspect = self.suspects.entry(request);
        let suspect = suspect.or_insert_with(|| Suspect::new(account));
        suspect.take(end);
        self.note_news(request);
        self.settle(request)
    }

    /// How long a request is still held back. One whose hold is over is tried: others
    /// like it wait for that.
    pub fn held_back(
        &mut self,
        now: Moment,
        request: RequestDigest,
    ) -> Option<Duration> {
        let suspect = self.suspects.get_mut(&request)?;
        let hold = suspect.hold()?;
        if self.let_through.contains(&request) {
            return None;
        }
        let left = hold.left(now, suspect.trial);
        if left.is_none() {
            suspect.trial = Some(now);
        }
        left
    }

    /// A request got a whole answer. Whether something had spoken against it.
    pub fn answered(
        &mut self,
        now: Moment,
        request: RequestDigest,
    ) -> bool {
        self.answers.note(now, request);
        let suspect = self.suspects.get_mut(&request);
        let is_news = suspect.is_some_and(Suspect::excuse);
        if is_news {
            self.settle(request);
            self.note_news(request);
        }
        is_news
    }

    /// The requests that are held back now, but for those let through.
    pub fn held(
        &self,
        now: Moment,
    ) -> Vec<HeldRequest> {
        let held = self.lasting.iter().filter_map(|request| {
            let suspect = self.suspects.get(request)?;
            let hold = suspect
                .hold()
                .filter(|hold| hold.left(now, None).is_some())?;
            let is_held = !self.let_through.contains(request);
            is_held.then_some(HeldRequest {
                request: *request,
                account: suspect.account,
                hold,
            })
        });
        held.collect()
    }

    /// Forgets what is old.
    pub fn forget_old(
        &mut self,
        now: Moment,
    ) {
        let lasting = &self.lasting;
        self.suspects.retain(|request, suspect| {
            let kept = match lasting.contains(request) {
                true => HELD_FORGOTTEN,
                false => FORGOTTEN,
            };
            !suspect.last_end().plus(kept).left(now).is_zero()
        });
        let known = &self.suspects;
        self.lasting.retain(|request| known.contains_key(request));
    }

    /// Sorts a request in anew after something was learnt of it. Gives its hold.
    pub(super) fn settle(
        &mut self,
        request: RequestDigest,
    ) -> Option<Hold> {
        let suspect = self.suspects.get(&request)?;
        let hold = suspect.hold();
        match hold {
            Some(_) => self.lasting.insert(request),
            None => self.lasting.remove(&request),
        };
        hold
    }

    /// Makes room for one more request of an account: its own are forgotten first, or
    /// those of the account that has the most, from the one that least speaks against.
    pub(super) fn make_room(
        &mut self,
        account: u32,
        request: RequestDigest,
    ) {
        if self.suspects.contains_key(&request) || self.suspects.len() < MOST_OF_ACCOUNT {
            return;
        }
        let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
        for suspect in self.suspects.values() {
            *counts.entry(suspect.account).or_default() += 1;
        }
        let most = counts.iter().max_by_key(|(_, count)| **count);
        let full = match most {
            _ if counts.get(&account) >= Some(&MOST_OF_ACCOUNT) => account,
            Some((most, _)) if self.suspects.len() >= MOST => *most,
            _ => return,
        };
        let of_account = self.suspects.iter().filter(|(_, it)| it.account == full);
        let least = of_account.min_by_key(|(request, suspect)| {
            let ends = suspect.hold().map_or(0, |hold| hold.ends);
            (ends, suspect.is_suspected(), suspect.last_end(), **request)
        });
        if let Some(request) = least.map(|(request, _)| *request) {
            self.suspects.remove(&request);
            self.lasting.remove(&request);
        }
    }
}
