use std::time::Duration;

/// What a caller saw of one request.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The whole answer, all of it marked as this request's.
    Whole {
        tokens: u32,
        first: Duration,
        total: Duration,
    },
    /// An error answer with the product's own code.
    Refused {
        status: u16,
        code: u64,
        ran: String,
        retry_after: Option<u64>,
        total: Duration,
    },
    /// A transfer that broke off, visibly.
    Cut,
    /// An answer that ended as if whole, and is not, or is another request's.
    Wrong(String),
    /// No connection to the router, or it closed before answering.
    NoAnswer,
}

impl Outcome {
    /// Whether the whole answer came.
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Whole { .. })
    }

    /// Whether the caller was told that the request did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused { ran, .. } if ran == "no")
    }

    /// The product's result code, if it gave one.
    pub fn code(&self) -> Option<u64> {
        match self {
            Self::Refused { code, .. } => Some(*code),
            _ => None,
        }
    }
}
