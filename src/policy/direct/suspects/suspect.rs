use {
    super::{CrashedAttempt, Hold, SignedMoment},
    crate::policy::Moment,
    std::{cmp::Reverse, time::Duration},
};

/// Crashes that are remembered for one request.
const MAX_CRASHES: usize = 8;

/// How long before the crash of one attempt the next may seem to begin and still count as later:
/// crashes are dated late by as long as a report takes from router to router.
const REPORT_DELAY: Duration = Duration::from_millis(100);

/// Crashes of one replica within this time are the same crash: a restart takes longer, and routers
/// see and report one crash at different moments.
const SAME_CRASH: Duration = Duration::from_millis(800);

/// How many crashes count as one early crash, if the attempts had already sent events for long.
const LATE_PER_EARLY: usize = 2;

/// A request during which replicas crashed.
#[derive(Debug, Clone)]
pub(super) struct Suspect {
    pub account: u32,                 // hash of its name
    pub crashes: Vec<CrashedAttempt>, // ordered by the time of the crash
    pub trial: Option<Moment>,        // when it was last let through after a hold
}

impl Suspect {
    /// A request without any crash.
    pub fn new(account: u32) -> Self {
        Self {
            account,
            crashes: Vec::new(),
            trial: None,
        }
    }

    /// Records a crash, or that a known one is cleared. Returns whether that is new.
    pub fn record(
        &mut self,
        crash: CrashedAttempt,
    ) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.key == crash.key) {
            let is_new = crash.is_cleared && !known.is_cleared;
            known.is_cleared |= crash.is_cleared;
            return is_new;
        }
        self.crashes.push(crash);
        self.crashes
            .sort_by_key(|crash| (crash.crashed_at, crash.key));
        if !crash.is_cleared {
            self.trial = None;
        }
        if self.crashes.len() > MAX_CRASHES {
            let least = (0..self.crashes.len())
                .min_by_key(|index| (Reverse(self.crashes[*index].is_cleared), *index));
            self.crashes.remove(least.expect("more than MAX_CRASHES"));
        }
        true
    }

    /// Clears the request after a complete answer: earlier crashes no longer count. Returns
    /// whether any did.
    pub fn clear(&mut self) -> bool {
        self.trial = None;
        let counted = self.crashes.iter_mut().filter(|crash| !crash.is_cleared);
        counted.map(|crash| crash.is_cleared = true).count() > 0
    }

    /// Whether a crash is cleared here that another router still counts.
    pub fn has_cleared(
        &self,
        key: u32,
        is_cleared_there: bool,
    ) -> bool {
        let known = self.crashes.iter().find(|crash| crash.key == key);
        !is_cleared_there && known.is_some_and(|known| known.is_cleared)
    }

    /// Whether any crash counts against the request.
    pub fn is_suspected(&self) -> bool {
        self.crashes.iter().any(|crash| !crash.is_cleared)
    }

    /// When the last replica crashed while running it.
    pub fn last_crash(&self) -> SignedMoment {
        let last = self.crashes.last();
        last.map_or(Moment::ZERO.into(), |crash| crash.crashed_at)
    }

    /// The hold that follows from its crashes.
    pub fn hold(&self) -> Option<Hold> {
        let counted = self.crashes.iter().filter(|crash| !crash.is_cleared);
        let since = counted.clone().next_back()?.crashed_at;
        let early = count_consecutive(counted.clone().filter(|crash| crash.is_early));
        let all = count_consecutive(counted);
        Hold::after(early.max(all / LATE_PER_EARLY), since)
    }
}

/// The number of crashes whose attempts followed each other. Replicas that crash together, each
/// while running a copy of the request, count once, and so does one replica that runs several.
fn count_consecutive<'e>(crashes: impl Iterator<Item = &'e CrashedAttempt>) -> usize {
    let mut counted: Vec<&CrashedAttempt> = Vec::new();
    for crash in crashes {
        let follows = counted
            .last()
            .is_none_or(|last| crash.started_at.plus(REPORT_DELAY) >= last.crashed_at);
        let is_known = counted.iter().any(|known| {
            known.replica == crash.replica && known.crashed_at.plus(SAME_CRASH) >= crash.crashed_at
        });
        if follows && !is_known {
            counted.push(crash);
        }
    }
    counted.len()
}
