use {
    super::{SignedMoment, SuspectKind},
    crate::policy::Moment,
    std::time::Duration,
};

/// Why, since when and until when a request or a part of prompts is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    pub kind: SuspectKind,
    pub crashes: usize, // replicas that crashed while running it, one after the other
    pub since: SignedMoment, // the last crash
    pub until: SignedMoment,
}

impl Hold {
    /// The hold after this many crashes, the last of them at `since`; `None` for too few.
    pub fn after(
        kind: SuspectKind,
        crashes: usize,
        since: SignedMoment,
    ) -> Option<Self> {
        let time = kind.hold_time(crashes)?;
        Some(Self {
            kind,
            crashes,
            since,
            until: since.plus(time),
        })
    }

    /// The same hold as if one more replica had crashed.
    pub(super) fn longer(self) -> Self {
        Self::after(self.kind, self.crashes + 1, self.since).unwrap_or(self)
    }

    /// The remaining time of the hold.
    pub fn remaining(
        &self,
        now: Moment,
    ) -> Duration {
        self.until.remaining(now)
    }
}
