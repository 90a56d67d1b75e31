use {
    super::{AccountUsage, FairAllocation},
    crate::policy::Moment,
    std::{collections::HashMap, time::Duration},
};

/// Time constant of the decay, as a part of the window over which shares are computed. It is short
/// since an account that is shut out waits for about this long.
const DECAY_FRACTION: f32 = 1.0 / 3.0;

/// Smaller ratios are dropped.
const NEGLIGIBLE_RATIO: f32 = 0.001;

/// How well each account is served now: the ratio of the tokens it was allocated in the last part
/// of a window to its fair share, where each token counts by the fair level at its time.
#[derive(Debug, Default)]
pub struct RecentAllocations {
    updated: Moment,
    accounts: HashMap<u32, Recent>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Recent {
    ratio: f32,
    allocated: f32, // tokens allocated over the fleet that the ratio accounts for
}

impl RecentAllocations {
    /// Whether the last update was at least `age` ago.
    pub fn is_due(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        now.saturating_sub(self.updated) >= age
    }

    /// Counts the tokens that were allocated since the last update, at the current fair level.
    pub fn update(
        &mut self,
        now: Moment,
        allocation: &FairAllocation,
    ) {
        let recent = allocation.usage().map(|(account, usage)| {
            let ratio = self.ratio(now, account, usage, allocation);
            (
                account,
                Recent {
                    ratio,
                    allocated: usage.allocated,
                },
            )
        });
        let recent = recent
            .filter(|(_, recent)| recent.ratio > NEGLIGIBLE_RATIO || recent.allocated > 0.0)
            .collect();
        self.accounts = recent;
        self.updated = now;
    }

    /// The ratio of an account's recent allocation to its fair share; 1 if it gets exactly that.
    pub fn ratio(
        &self,
        now: Moment,
        account: u32,
        usage: AccountUsage,
        allocation: &FairAllocation,
    ) -> f32 {
        let known = self.accounts.get(&account).copied().unwrap_or_default();
        let windows =
            now.saturating_sub(self.updated).as_secs_f32() / allocation.window.as_secs_f32();
        let added =
            (usage.allocated - known.allocated * (-windows).exp()) / allocation.fair_level.max(1.0);
        (known.ratio * (-windows / DECAY_FRACTION).exp() + added / DECAY_FRACTION).max(0.0)
    }
}
