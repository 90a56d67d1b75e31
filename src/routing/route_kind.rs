/// Whether the requests of a route may be repeated, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    Once,
    /// Answers with events; may go on at another replica if `resumable`.
    Stream { resumable: bool },
}

impl RouteKind {
    /// Whether a request may run a second time after an unknown outcome.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
