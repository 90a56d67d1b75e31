use {
    serde::{Deserialize, Serialize},
    std::{ops::AddAssign, time::Duration},
};

/// The tokens that one account recently requested and was allocated, both with exponential decay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountUsage {
    pub requested: f32,
    pub allocated: f32,
}

impl AccountUsage {
    /// Multiplies both by a factor.
    pub fn decay(
        &mut self,
        factor: f32,
    ) {
        self.requested *= factor;
        self.allocated *= factor;
    }

    /// The usage decayed over `age`, with `window` as the time constant.
    pub fn decayed(
        mut self,
        age: Duration,
        window: Duration,
    ) -> Self {
        self.decay((-age.as_secs_f32() / window.as_secs_f32()).exp());
        self
    }
}

impl AddAssign for AccountUsage {
    fn add_assign(
        &mut self,
        other: Self,
    ) {
        self.requested += other.requested;
        self.allocated += other.allocated;
    }
}
