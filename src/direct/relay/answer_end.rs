/// How the rest of an answer that has begun shows its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// By a length, chunks, or the end of its head: a close before that shows a cut.
    Framed,
    /// By the close of the connection.
    Close,
}
