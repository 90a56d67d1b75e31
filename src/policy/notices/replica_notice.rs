use std::time::Duration;

/// What the head of an answer says of the replica that gave it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaNotice {
    pub leaves: bool,   // it takes no new work, for good
    pub rest: Duration, // it wants nothing from this process for so long; zero if it did not ask
}

impl ReplicaNotice {
    /// What a replica said: that it leaves, and the rest that it asked for as it turned a
    /// request away.
    pub fn new(
        leaves: bool,
        rest: Option<Duration>,
    ) -> Self {
        Self {
            leaves,
            rest: rest.unwrap_or_default(),
        }
    }

    /// What it says, for metrics.
    pub fn kind(&self) -> &'static str {
        if self.leaves { "leaves" } else { "rests" }
    }

    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        !self.leaves && self.rest.is_zero()
    }
}
