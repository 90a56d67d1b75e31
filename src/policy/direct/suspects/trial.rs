use {
    super::{SignedMoment, SuspectDigest, SuspectKind},
    crate::policy::Moment,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A request that a router lets through after a hold, to learn whether it still crashes replicas.
/// Of several that routers claim before they hear of each other, the one with the lowest key
/// stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    pub key: u32, // random, drawn by the router that claims it
    pub claimed_at: SignedMoment,
}

/// A trial as it is sent to other routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReport {
    pub kind: SuspectKind,
    pub digest: SuspectDigest,
    pub key: u32,
    pub claimed_ago_ms: u32,
}

/// Trials that a router has claimed and may begin once others had the time to object.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TrialClaim {
    pub(super) trials: Vec<(SuspectKind, SuspectDigest, u32)>, // with their keys
}

impl TrialClaim {
    /// How long a router waits with a trial that it has claimed. By then all others have heard of
    /// it, and it of theirs.
    pub const WAIT: Duration = Duration::from_millis(600);
}

impl Trial {
    /// The time for which others wait for its outcome.
    pub(super) fn remaining(
        &self,
        now: Moment,
        kind: SuspectKind,
    ) -> Duration {
        self.claimed_at.plus(kind.trial_time()).remaining(now)
    }
}
