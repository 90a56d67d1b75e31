use std::time::Duration;

/// A longer rest than this is taken for this long; the replica may then ask anew. A wrong
/// figure must not shut a replica out for good.
const LONGEST_REST: Duration = Duration::from_secs(600);

/// What the head of an answer says of the replica that gave it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaNotice {
    pub leaves: bool,   // it takes no new work, for good
    pub rest: Duration, // it wants nothing from this process for so long; zero if it did not ask
}

impl ReplicaNotice {
    /// What a replica said: that it leaves, and the seconds of rest that it asked for as
    /// it turned a request away. Seconds that are no time count for nothing.
    pub fn new(
        leaves: bool,
        rest_seconds: Option<f64>,
    ) -> Self {
        let rest = rest_seconds.filter(|seconds| *seconds > 0.0);
        let rest = rest.map(|seconds| seconds.min(LONGEST_REST.as_secs_f64()));
        Self {
            leaves,
            rest: rest.map_or(Duration::ZERO, Duration::from_secs_f64),
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
