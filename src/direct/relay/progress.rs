use super::answer_end::AnswerEnd;

/// What is in progress on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Each request that has begun has its whole answer.
    Idle,
    /// A request has begun, its end and the first byte of its answer are missing.
    RequestInPart,
    /// A whole request waits for the first byte of its answer.
    AnswerAwaited,
    /// An answer has begun.
    AnswerInPart(AnswerEnd),
    /// A message could not be followed: anything may be in progress until the connection ends.
    Unknown,
}

impl Progress {
    /// Whether a request waits for an answer of which nothing was written.
    pub fn awaits_answer(self) -> bool {
        matches!(self, Self::RequestInPart | Self::AnswerAwaited)
    }

    /// Whether a caller would take a close of the connection for the end of an answer.
    pub fn may_end_by_close(self) -> bool {
        matches!(self, Self::AnswerInPart(AnswerEnd::Close) | Self::Unknown)
    }

    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "nothing",
            Self::RequestInPart => "request in part",
            Self::AnswerAwaited => "answer awaited",
            Self::AnswerInPart(_) => "answer in part",
            Self::Unknown => "unknown",
        }
    }
}
