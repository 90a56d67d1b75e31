use {crate::direct::ClientAnswer, std::time::Instant};

/// Kinds of request that callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    Read,   // idempotent
    Charge, // must run at most once
    Events, // a resumable stream
}

impl RequestKind {
    /// Path prefix of the route.
    pub fn path(self) -> &'static str {
        match self {
            Self::Read => "/read/",
            Self::Charge => "/charge/",
            Self::Events => "/events/",
        }
    }

    /// Service whose replicas run the request.
    pub fn service(self) -> &'static str {
        match self {
            Self::Read | Self::Charge => "plain",
            Self::Events => "events",
        }
    }
}

/// One request of a caller and its answer.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    pub id: String,
    pub kind: RequestKind,
    pub router: usize,
    pub sent: Instant,
    pub ended: Instant,
    pub answer: Option<ClientAnswer>, // none if the caller timed out
}

impl CallerRequest {
    /// Status of the answer: 0 if the connection ended before one arrived, none if the caller
    /// timed out.
    pub fn status(&self) -> Option<u16> {
        self.answer.as_ref().map(|answer| answer.status)
    }
}
