use std::time::Duration;

/// How an account stands to its max-min share of what was given lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Standing {
    /// It had more; within its share again after this long if nothing is given.
    Over(Duration),
    /// It is within its share.
    #[default]
    Within,
    /// It was refused more than it got, and got less than half its share.
    Behind,
}
