/// What a probe shows of a neighbour's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// It runs, whether it serves callers or not.
    Answered,
    /// No process accepts connections there.
    Refused,
    /// Nothing came back in time.
    Silent,
}
