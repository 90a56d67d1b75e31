use {
    super::{ExpectedWork, Load},
    crate::policy::Moment,
    std::{sync::Arc, time::Duration},
};

/// Names one request at one replica.
pub type WorkNumber = u64;

/// One request that a replica was sent and has not wholly answered.
#[derive(Debug, Clone)]
pub struct Work {
    pub replica: Arc<str>,
    pub start: u32, // of the replica, short name
    pub sent: Moment,
    pub is_counted: bool, // among what is sent to a replica that starts slowly
    pub load: Load,       // what it counts for now
    pub reading: u32,     // prompt tokens that it has to read in all
    pub expected: Option<ExpectedWork>, // of a prompt, until its first token has come
    pub overdue: Option<(Moment, Duration)>, // when it was last seen to be, after how long
}
