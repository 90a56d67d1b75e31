use {crate::direct::ClientAnswer, std::time::Instant};

/// The kinds of request that callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Read,   // may run more than once
    Charge, // runs once at most
    Events, // a stream that may be resumed
}

impl Kind {
    /// What its path begins with.
    pub fn path(self) -> &'static str {
        match self {
            Self::Read => "/read/",
            Self::Charge => "/charge/",
            Self::Events => "/events/",
        }
    }

    /// The service whose replicas run it.
    pub fn service(self) -> &'static str {
        match self {
            Self::Read | Self::Charge => "plain",
            Self::Events => "events",
        }
    }
}

/// One request of a caller and what came of it.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    pub kind: Kind,
    pub router: usize,
    pub sent: Instant,
    pub ended: Instant,
    pub answer: Option<ClientAnswer>, // none: the caller gave up
}

impl Attempt {
    /// The status, 0 if the connection ended before one, none if none came in
    /// the caller's time.
    pub fn status(&self) -> Option<u16> {
        self.answer.as_ref().map(|answer| answer.status)
    }
}
