use {
    serde::{Deserialize, Serialize},
    std::{ops::AddAssign, time::Duration},
};

/// Upper bound on valid figures, more than a router can collect of one replica before they
/// decay.
const MAX_FIGURE: f32 = 1e6;

/// Observed frequency of streams of one replica whose pause between two events exceeds the
/// target of their route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PauseEvidence {
    pub watched_s: f32, // observed stream time in seconds, decayed by age
    pub late: f32,      // streams whose pause first exceeded the target, decayed by age
}

impl PauseEvidence {
    /// Whether the figures lie within bounds that real observations cannot exceed.
    pub fn is_possible(self) -> bool {
        let possible = 0.0..=MAX_FIGURE;
        possible.contains(&self.watched_s) && possible.contains(&self.late)
    }

    /// The figures after exponential decay over `age` with this time constant.
    pub fn decayed(
        self,
        age: Duration,
        time_constant: Duration,
    ) -> Self {
        let factor = (-age.as_secs_f32() / time_constant.as_secs_f32()).exp();
        Self {
            watched_s: self.watched_s * factor,
            late: self.late * factor,
        }
    }
}

impl AddAssign for PauseEvidence {
    fn add_assign(
        &mut self,
        other: Self,
    ) {
        self.watched_s += other.watched_s;
        self.late += other.late;
    }
}
