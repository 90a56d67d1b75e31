use std::time::Duration;

/// What the headers of an answer say about the replica that sent it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaNotice {
    pub is_leaving: bool,  // it takes no new work, for good
    pub backoff: Duration, // it wants no requests of this process for so long; zero if unset
}

impl ReplicaNotice {
    /// Creates a notice from whether the replica leaves, and for how long it wants no requests
    /// if it stated that when it refused one.
    pub fn new(
        is_leaving: bool,
        backoff: Option<Duration>,
    ) -> Self {
        Self {
            is_leaving,
            backoff: backoff.unwrap_or_default(),
        }
    }

    /// The kind of notice, as a label in metrics.
    pub fn kind(&self) -> &'static str {
        if self.is_leaving { "leaves" } else { "rests" }
    }

    /// Whether the notice announces nothing.
    pub fn is_empty(&self) -> bool {
        !self.is_leaving && self.backoff.is_zero()
    }
}
