use std::time::Duration;

/// The result of one request as its caller saw it.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A complete answer in which every token belongs to this request.
    Complete {
        tokens: u32,
        first: Duration, // until the first bytes of the body
        total: Duration,
    },
    /// An error answer with a result code of a router.
    Refused {
        status: u16,
        code: u64,
        ran: String,              // whether an upstream ran it: yes, no or unknown
        retry_after: Option<u64>, // seconds
        total: Duration,
    },
    /// An answer that broke off in a way that the caller can detect.
    Truncated,
    /// An answer that seems complete but has missing or foreign content: its text.
    WrongAnswer(String),
    /// The connection could not be opened, or was closed before an answer.
    NoAnswer,
}

impl Outcome {
    /// Whether the answer was complete and correct.
    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Complete { .. })
    }

    /// Whether the router answered that no upstream ran the request.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused { ran, .. } if ran == "no")
    }

    /// The result code of a router's error answer.
    pub fn code(&self) -> Option<u64> {
        match self {
            Self::Refused { code, .. } => Some(*code),
            _ => None,
        }
    }
}
