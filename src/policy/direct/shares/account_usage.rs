use {
    serde::{Deserialize, Serialize},
    std::{ops::AddAssign, time::Duration},
};

/// What one account asked for and got of late, in tokens; both fade.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountUsage {
    pub asked: f32,
    pub got: f32,
}

impl AccountUsage {
    /// Fades by a factor.
    pub fn fade(
        &mut self,
        factor: f32,
    ) {
        self.asked *= factor;
        self.got *= factor;
    }

    /// What is left of it after some time.
    pub fn faded(
        mut self,
        age: Duration,
        window: Duration,
    ) -> Self {
        self.fade((-age.as_secs_f32() / window.as_secs_f32()).exp());
        self
    }
}

impl AddAssign for AccountUsage {
    fn add_assign(
        &mut self,
        other: Self,
    ) {
        self.asked += other.asked;
        self.got += other.got;
    }
}
