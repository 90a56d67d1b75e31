use crate::codes::{Ran, ResultCode};

/// What a router observes of a request that it sends to a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEvent {
    Sending,            // from here on bytes may reach the sidecar
    NotRun(ResultCode), // the sidecar reports that it has not started it and never will
    Begun,              // the sidecar reports that the upstream answers
    Whole,              // the end marker came, length and digest are correct
    Failed(ResultCode), // the sidecar reports that the upstream failed
    Mismatch,           // the answer is not this request's, or is damaged
    Lost,               // the connection or the allowed time ended first
}

/// What a router knows of one attempt at a request. Only a report of the sidecar, or having sent
/// nothing at all, proves that the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouterExchange {
    Unsent,
    Sent,
    Answering, // the caller may have part of the answer
    Ended(Ran, ResultCode),
    Delivered,
}

impl RouterExchange {
    /// The state after an event. Events after the end change nothing.
    #[must_use]
    pub fn after(
        self,
        event: AnswerEvent,
    ) -> Self {
        match (self, event) {
            (Self::Ended(..) | Self::Delivered, _) => self,
            (Self::Unsent, AnswerEvent::Sending) => Self::Sent,
            (Self::Unsent, AnswerEvent::Lost) => Self::Ended(Ran::No, ResultCode::PeerUnreachable),
            (Self::Unsent, _) => self,
            (Self::Sent, AnswerEvent::NotRun(code)) => Self::Ended(Ran::No, code),
            (Self::Sent, AnswerEvent::Begun) => Self::Answering,
            (Self::Answering, AnswerEvent::Whole) => Self::Delivered,
            (Self::Sent | Self::Answering, AnswerEvent::Sending) => self,
            (Self::Sent, AnswerEvent::Lost) => {
                Self::Ended(Ran::Unknown, ResultCode::OutcomeUnknown)
            }
            (_, AnswerEvent::Lost) => Self::Ended(Ran::Unknown, ResultCode::AnswerCut),
            (_, AnswerEvent::Failed(code)) => Self::Ended(Ran::Unknown, code),
            // Any other event contradicts what the sidecar reported before.
            _ => Self::Ended(Ran::Unknown, ResultCode::AnswerMismatch),
        }
    }

    /// Whether another attempt is safe: the caller has seen nothing of an answer, and the
    /// request did not run or may run twice.
    pub fn may_retry(
        self,
        repeatable: bool,
        answered: bool,
    ) -> bool {
        match self {
            Self::Ended(Ran::No, _) => !answered,
            Self::Ended(Ran::Unknown, _) => repeatable && !answered,
            _ => false,
        }
    }
}
