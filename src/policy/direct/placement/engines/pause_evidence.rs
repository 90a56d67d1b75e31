use {
    serde::{Deserialize, Serialize},
    std::{ops::AddAssign, time::Duration},
};

/// More streams, or seconds of them, than a router watches at one replica before they fade.
const MOST: f32 = 1e6;

/// What was seen of how often streams pause for too long at one replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PauseEvidence {
    pub watched_s: f32, // seconds of streams between events, faded by age
    pub broken: f32,    // streams whose pause first came over their aim, faded likewise
}

impl PauseEvidence {
    /// Whether streams can have shown it.
    pub fn is_possible(self) -> bool {
        let possible = 0.0..=MOST;
        possible.contains(&self.watched_s) && possible.contains(&self.broken)
    }

    /// What is left of it after some time; `fades` leaves a third.
    pub fn faded(
        self,
        age: Duration,
        fades: Duration,
    ) -> Self {
        let factor = (-age.as_secs_f32() / fades.as_secs_f32()).exp();
        Self {
            watched_s: self.watched_s * factor,
            broken: self.broken * factor,
        }
    }
}

impl AddAssign for PauseEvidence {
    fn add_assign(
        &mut self,
        other: Self,
    ) {
        self.watched_s += other.watched_s;
        self.broken += other.broken;
    }
}
