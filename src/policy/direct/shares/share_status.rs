use std::time::Duration;

/// How an account's recent usage compares to its max-min fair share.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum ShareStatus {
    /// It was allocated `factor` times its share. If nothing more is allocated, it is within
    /// its share again after `wait`.
    Over { wait: Duration, factor: f32 },
    /// It is within its share.
    #[default]
    Within,
    /// It was allocated less than half of what it requested, and now gets less than half of
    /// its share.
    Under,
}

impl ShareStatus {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Over { .. } => "over",
            Self::Within => "within",
            Self::Under => "behind",
        }
    }
}
