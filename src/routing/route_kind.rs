/// Whether requests of a route may be retried, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request that a caller sends.
    NonIdempotent,
    /// Answered with a stream of events, which may continue at another replica if
    /// `resumable`.
    Stream { resumable: bool },
}

impl RouteKind {
    /// Whether a request may run a second time after an unknown outcome.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether requests are answered with a stream of events that another replica may continue.
    pub fn is_resumable_stream(self) -> bool {
        matches!(self, Self::Stream { resumable: true })
    }

    /// Whether requests are answered with a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
