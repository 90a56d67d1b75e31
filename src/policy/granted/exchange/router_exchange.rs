use crate::codes::{Ran, ResultCode};

/// What a router observes while a request is with a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEvent {
    Sending,            // from here on bytes may reach the sidecar
    NotRun(ResultCode), // the sidecar says it has not started it, and never will
    Begun,              // the sidecar says the upstream answers
    Whole,              // the end marker, length and digest in order
    Failed(ResultCode), // the sidecar says the upstream failed
    Mismatch,           // the answer is not this request's, or is damaged
    Lost,               // the connection, or patience, ended first
}

/// A router's knowledge of one attempt. Only a sidecar's own word, or never
/// having sent anything, proves that a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouterExchange {
    Unsent,
    Sent,
    Answering, // part of the answer may be with the caller
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
            // A sidecar that says anything else contradicts itself.
            _ => Self::Ended(Ran::Unknown, ResultCode::AnswerMismatch),
        }
    }

    /// Whether another attempt is safe: it did not run, or it may run twice
    /// and the caller has seen nothing of an answer.
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
