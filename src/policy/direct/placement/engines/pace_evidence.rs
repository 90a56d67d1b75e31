use {
    serde::{Deserialize, Serialize},
    std::{ops::AddAssign, time::Duration},
};

/// What was seen of how quick one replica is beside its service's engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PaceEvidence {
    pub weight: f32,    // samples, faded by age
    pub log_ratio: f32, // weighted sum of ln(time taken / time expected of the service)
}

impl PaceEvidence {
    /// What is left of it after some time; `fades` leaves a third.
    pub fn faded(
        self,
        age: Duration,
        fades: Duration,
    ) -> Self {
        let factor = (-age.as_secs_f32() / fades.as_secs_f32()).exp();
        Self {
            weight: self.weight * factor,
            log_ratio: self.log_ratio * factor,
        }
    }
}

impl AddAssign for PaceEvidence {
    fn add_assign(
        &mut self,
        other: Self,
    ) {
        self.weight += other.weight;
        self.log_ratio += other.log_ratio;
    }
}
