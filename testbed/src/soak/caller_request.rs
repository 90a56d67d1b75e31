use {
    crate::direct::{ClientAnswer, Piece, pieces},
    std::time::{Duration, Instant},
};

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

/// What a request that takes a stream up says of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resumption {
    pub stream: String,  // id of the request that brought its first event
    pub last_event: u32, // that its caller got
}

/// One request of a caller and its answer.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    pub id: String,
    pub kind: RequestKind,
    pub resumes: Option<Resumption>, // none for one that begins anew
    pub router: usize,
    pub sent: Instant,
    pub deadline: Duration, // since it was sent, after which it need not be answered
    pub ended: Instant,
    pub answer: Option<ClientAnswer>, // none if the caller timed out
}

impl CallerRequest {
    /// Status of the answer: 0 if the connection ended before one arrived, none if the caller
    /// timed out.
    pub fn status(&self) -> Option<u16> {
        self.answer.as_ref().map(|answer| answer.status)
    }

    /// The last event that its caller had got before.
    pub fn last_event_before(&self) -> u32 {
        self.resumes
            .as_ref()
            .map_or(0, |resumed| resumed.last_event)
    }

    /// Id of the request that began the stream.
    pub fn stream(&self) -> &str {
        let resumes = self.resumes.as_ref();
        resumes.map_or(&*self.id, |resumed| &*resumed.stream)
    }

    /// The whole events of its answer, none if it is no success.
    pub fn pieces(&self) -> Vec<Piece> {
        let success = self.answer.as_ref().filter(|answer| answer.status == 200);
        success.map_or_else(Vec::new, |answer| pieces(&answer.text()))
    }
}
