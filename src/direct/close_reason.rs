/// Why the router closed a connection of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// No request came for longer than the idle time-out.
    Idle,
    /// The head of a request did not come to its end within the header time-out.
    LateHead,
    /// Far too many connections are open.
    Crowded,
    /// Memory or descriptors for callers ran out.
    NoRoom,
    /// This router stops.
    Stopping,
    /// The router that forwards the connection stops.
    ForwarderStopping,
    /// The answer had `Connection: close`.
    Announced,
    /// The caller asked for it, or its protocol has no persistent connections.
    Requested,
    /// The caller did not read its answer.
    UnreadAnswer,
    /// The answer broke off.
    CutAnswer,
    /// The caller's bytes are no HTTP request.
    BadRequest,
    /// The request was answered before all of its body was read.
    UnreadBody,
}

impl CloseReason {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::LateHead => "late_head",
            Self::Crowded => "crowded",
            Self::NoRoom => "no_room",
            Self::Stopping => "stopping",
            Self::ForwarderStopping => "forwarder_stopping",
            Self::Announced => "announced",
            Self::Requested => "requested",
            Self::UnreadAnswer => "unread_answer",
            Self::CutAnswer => "cut_answer",
            Self::BadRequest => "bad_request",
            Self::UnreadBody => "unread_body",
        }
    }
}
