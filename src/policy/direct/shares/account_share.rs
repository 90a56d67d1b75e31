use super::{AccountUsage, ShareStatus};

/// Whether an account is over its fair share, and the figures that this follows from.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct AccountShare {
    pub standing: ShareStatus,
    pub usage: AccountUsage, // of the account, over the fleet
    pub lately: f32,         // recently allocated tokens, as a part of its fair share
    pub level: f32, // tokens that each account may have; infinite if all requests can be met
    pub divided: f32, // tokens that are divided among all accounts
}

impl AccountShare {
    /// The fair level in whole tokens; `None` if all requests can be met.
    pub fn fair_level_tokens(&self) -> Option<u64> {
        self.level.is_finite().then_some(self.level as u64)
    }
}
