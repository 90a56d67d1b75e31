use {
    super::{
        CrashedAttempt, Hold, SignedMoment, SuspectKind, Trial, suspect_kind::MIN_CRASH_INTERVAL,
    },
    crate::policy::Moment,
    std::{cmp::Reverse, time::Duration},
};

/// Crashes that are remembered for one request or part.
const MAX_CRASHES: usize = 16;

/// Crashes of one replica within this time are the same crash: a restart takes longer, and routers
/// see and report one crash at different moments.
const SAME_CRASH: Duration = Duration::from_millis(800);

/// How many crashes that are weak evidence count as one.
const WEAK_PER_STRONG: usize = 2;

/// A request, or a part of prompts, during which replicas crashed.
#[derive(Debug, Clone)]
pub(super) struct Suspect {
    pub account: u32, // hash of the name of the account that sent it first
    pub crashes: Vec<CrashedAttempt>, // ordered by the time of the crash
    pub trial: Option<Trial>, // of a request that was let through since the last crash
}

impl Suspect {
    /// A request or part without any crash.
    pub fn new(account: u32) -> Self {
        Self {
            account,
            crashes: Vec::new(),
            trial: None,
        }
    }

    /// Records a crash, or more about a known one. Returns whether that is new.
    pub fn record(
        &mut self,
        crash: CrashedAttempt,
    ) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.key == crash.key) {
            let is_new = known.merge(crash);
            self.sort_crashes();
            return is_new;
        }
        self.crashes.push(crash);
        self.sort_crashes();
        if !crash.is_cleared {
            self.trial = None;
        }
        if self.crashes.len() > MAX_CRASHES {
            self.remove_least();
        }
        true
    }

    /// Removes the crash that says least: one that is cleared, or one that closely followed
    /// another, or the oldest.
    fn remove_least(&mut self) {
        let follows_closely = |index: usize| {
            let previous = index.checked_sub(1).map(|previous| &self.crashes[previous]);
            let crash = &self.crashes[index];
            previous.is_some_and(|previous| {
                crash.crashed_at < previous.crashed_at.plus(MIN_CRASH_INTERVAL)
            })
        };
        let least = (0..self.crashes.len()).min_by_key(|index| {
            let is_cleared = self.crashes[*index].is_cleared;
            (
                Reverse(is_cleared),
                Reverse(follows_closely(*index)),
                *index,
            )
        });
        if let Some(least) = least {
            self.crashes.remove(least);
        }
    }

    /// Records a trial that this router or another one claims. Returns whether it replaces what
    /// was known: an older one that is over, or one with a higher key.
    pub fn record_trial(
        &mut self,
        now: Moment,
        kind: SuspectKind,
        trial: Trial,
    ) -> bool {
        let known = self
            .trial
            .filter(|known| !known.remaining(now, kind).is_zero());
        let is_new = known.is_none_or(|known| trial.key < known.key);
        if is_new {
            self.trial = Some(trial);
        }
        is_new
    }

    /// Clears it after an answer: earlier crashes no longer count. Returns how many did.
    pub fn clear(&mut self) -> usize {
        self.trial = None;
        let counted = self.crashes.iter_mut().filter(|crash| !crash.is_cleared);
        counted.map(|crash| crash.is_cleared = true).count()
    }

    /// Whether the crash with this key is cleared here.
    pub fn has_cleared(
        &self,
        key: u32,
    ) -> bool {
        let known = self.crashes.iter().find(|crash| crash.key == key);
        known.is_some_and(|known| known.is_cleared)
    }

    /// Number of crashes that are not cleared.
    pub fn counted_crashes(&self) -> usize {
        let counted = self.crashes.iter().filter(|crash| !crash.is_cleared);
        counted.count()
    }

    /// When the last replica crashed while running it.
    pub fn last_crash(&self) -> SignedMoment {
        let last = self.crashes.last();
        last.map_or(Moment::ZERO.into(), |crash| crash.crashed_at)
    }

    /// The hold that follows from its crashes.
    pub fn hold(
        &self,
        kind: SuspectKind,
    ) -> Option<Hold> {
        let counted = self.crashes.iter().filter(|crash| !crash.is_cleared);
        let since = counted.clone().next_back()?.crashed_at;
        let strong = count_separate(kind, counted.clone().filter(|crash| crash.is_strong));
        let weak = count_separate(kind, counted).saturating_sub(strong);
        Hold::after(kind, strong + weak / WEAK_PER_STRONG, since)
    }

    fn sort_crashes(&mut self) {
        self.crashes
            .sort_by_key(|crash| (crash.crashed_at, crash.key));
    }
}

/// The number of crashes that are separate events. Replicas that crash together, each while
/// running it, count once, and so does one replica that runs several copies.
fn count_separate<'e>(
    kind: SuspectKind,
    crashes: impl Iterator<Item = &'e CrashedAttempt>,
) -> usize {
    let mut counted: Vec<&CrashedAttempt> = Vec::new();
    for crash in crashes {
        let follows = counted
            .last()
            .is_none_or(|last| kind.is_separate(last, crash));
        let is_known = counted.iter().any(|known| {
            known.replica == crash.replica && known.crashed_at.plus(SAME_CRASH) >= crash.crashed_at
        });
        if follows && !is_known {
            counted.push(crash);
        }
    }
    counted.len()
}
