use super::{AccountUsage, Standing};

/// How an account stands to its share, and what that was worked out from.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct AccountShare {
    pub standing: Standing,
    pub usage: AccountUsage, // of the account, over the fleet
    pub lately: f32,         // what it was given just now, as a part of its share
    pub level: f32, // tokens that each account may have; infinite where all get what they ask
    pub divided: f32, // tokens that are divided among all accounts
}

impl AccountShare {
    /// The level in whole tokens; none where all get what they ask.
    pub fn level_tokens(&self) -> Option<u64> {
        self.level.is_finite().then_some(self.level as u64)
    }
}
