use {
    super::{RequestDigest, RunEnd, ToldMoment},
    crate::policy::Moment,
    serde::{Deserialize, Serialize},
};

/// What a router knows of a request under which replicas ended, for other routers. Notes
/// add up in any order, and a note that comes twice says nothing more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNote {
    pub request: RequestDigest,
    pub account: u32, // short name
    pub ends: Vec<EndNote>,
}

/// One end of a run, with ages, since moments of two processes cannot be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndNote {
    pub key: u32,
    pub replica: u32,  // short name of its start
    pub began_ms: u32, // ago
    pub ended_ms: u32, // ago
    pub is_early: bool,
    pub is_excused: bool,
}

impl EndNote {
    /// An end as it is told now.
    pub fn new(
        now: Moment,
        end: &RunEnd,
    ) -> Self {
        Self {
            key: end.key,
            replica: end.replica,
            began_ms: end.began.ago_ms(now),
            ended_ms: end.ended.ago_ms(now),
            is_early: end.is_early,
            is_excused: end.is_excused,
        }
    }

    /// The end as it is known when this is heard.
    pub fn heard(
        &self,
        now: Moment,
    ) -> RunEnd {
        RunEnd {
            key: self.key,
            replica: self.replica,
            began: ToldMoment::before(now, self.began_ms),
            ended: ToldMoment::before(now, self.ended_ms),
            is_early: self.is_early,
            is_excused: self.is_excused,
        }
    }
}
