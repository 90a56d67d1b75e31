use {
    serde::{Deserialize, Serialize},
    std::ops::AddAssign,
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
