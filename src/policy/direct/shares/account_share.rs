use super::{AccountUsage, ShareStatus};

/// Whether an account is over its fair share, and the figures that this follows from.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct AccountShare {
    pub status: ShareStatus,
    pub usage: AccountUsage, // of the account, over the fleet
    pub recent_ratio: f32,   // of recently allocated tokens to its fair share
    pub fair_level: f32,     // tokens that each account may have; infinite if enough for all
    pub capacity: f32,       // tokens that are divided among all accounts
}

impl AccountShare {
    /// The fair level in whole tokens; `None` if all requests can be met.
    pub fn fair_level_tokens(&self) -> Option<u64> {
        self.fair_level
            .is_finite()
            .then_some(self.fair_level as u64)
    }
}
