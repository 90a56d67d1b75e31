use std::time::Duration;

/// How an account stands to its max-min share of what was given lately.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Standing {
    /// It had `factor` times its share; within it again after `wait` if nothing
    /// is given.
    Over { wait: Duration, factor: f32 },
    /// It is within its share.
    #[default]
    Within,
    /// It was refused more than it got, and is given less than half its share now.
    Behind,
}

impl Standing {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Over { .. } => "over",
            Self::Within => "within",
            Self::Behind => "behind",
        }
    }
}
