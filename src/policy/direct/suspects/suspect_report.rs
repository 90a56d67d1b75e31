use {
    super::{CrashedAttempt, SignedMoment, SuspectDigest},
    crate::policy::Moment,
    serde::{Deserialize, Serialize},
};

/// What a router knows of a request or part of prompts during which replicas crashed, as sent to
/// other routers. These messages may be merged in any order and more than once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    pub digest: SuspectDigest,
    pub account: u32, // hash of the name of the account that sent it first
    pub crashes: Vec<CrashReport>,
}

/// One crash, with ages in place of moments, since moments of two processes cannot be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    pub key: u32,
    pub replica: u32,        // hash of the replica's id and start time
    pub started_ago_ms: u32, // how long ago the request was sent to the replica
    pub crashed_ago_ms: u32, // how long ago the replica crashed
    pub is_strong: bool,
    pub is_cleared: bool,
}

impl CrashReport {
    /// A crash as it is sent to other routers now.
    pub fn new(
        now: Moment,
        crash: &CrashedAttempt,
    ) -> Self {
        Self {
            key: crash.key,
            replica: crash.replica,
            started_ago_ms: crash.started_at.ago_ms(now),
            crashed_ago_ms: crash.crashed_at.ago_ms(now),
            is_strong: crash.is_strong,
            is_cleared: crash.is_cleared,
        }
    }

    /// The crash, if the message was received at `now`.
    pub fn received_at(
        &self,
        now: Moment,
    ) -> CrashedAttempt {
        CrashedAttempt {
            key: self.key,
            replica: self.replica,
            started_at: SignedMoment::before(now, self.started_ago_ms),
            crashed_at: SignedMoment::before(now, self.crashed_ago_ms),
            is_strong: self.is_strong,
            is_cleared: self.is_cleared,
        }
    }
}
