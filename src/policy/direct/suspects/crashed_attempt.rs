use {super::SignedMoment, crate::policy::Moment, std::time::Duration};

/// An attempt whose events had arrived for longer than this when its replica crashed is unlikely
/// to be the cause: five times the longest time (102 ms) that was seen from the start of an
/// attempt that crashes its replica to that crash.
const EARLY_WINDOW: Duration = Duration::from_millis(500);

/// An attempt at a request that was running when its replica crashed, as evidence against the
/// request or against a part of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashedAttempt {
    pub key: u32,                 // the same in all reports of this evidence
    pub replica: u32,             // hash of the replica's id and start time
    pub started_at: SignedMoment, // when the request was sent to the replica
    pub crashed_at: SignedMoment, // when the replica crashed
    pub is_strong: bool,          // counts in full, else half
    pub is_cleared: bool,         // it was answered since
}

impl CrashedAttempt {
    /// An attempt whose replica crashed `now`, as seen by this router, under a random key. It is
    /// strong evidence if no event had arrived, or only for a short time.
    pub fn observed(
        key: u32,
        replica: u32,
        started_at: Moment,
        first_event: Option<Moment>,
        now: Moment,
    ) -> Self {
        let is_strong = !first_event.is_some_and(|first| has_survived(first, now));
        Self {
            key,
            replica,
            started_at: started_at.into(),
            crashed_at: now.into(),
            is_strong,
            is_cleared: false,
        }
    }

    /// The same crash as evidence against a part of the prompt: one and the same for all attempts
    /// that it interrupted, at any router. `None` if the part is not the cause, as the replica
    /// lived on after it had begun to answer.
    pub fn against_part(self) -> Option<Self> {
        let key = self.replica;
        self.is_strong.then_some(Self { key, ..self })
    }

    /// Merges what another router reported of the same evidence. Returns whether that changes it.
    pub(super) fn merge(
        &mut self,
        other: Self,
    ) -> bool {
        let merged = Self {
            started_at: self.started_at.min(other.started_at),
            crashed_at: self.crashed_at.min(other.crashed_at),
            is_strong: self.is_strong && other.is_strong,
            is_cleared: self.is_cleared || other.is_cleared,
            ..*self
        };
        let is_new = merged.is_cleared != self.is_cleared || merged.is_strong != self.is_strong;
        *self = merged;
        is_new
    }
}

/// Whether a replica that sent an attempt's first event at `first` lives on for long enough to
/// show that the attempt does not crash it.
pub fn has_survived(
    first: Moment,
    now: Moment,
) -> bool {
    now.saturating_sub(first) > EARLY_WINDOW
}
