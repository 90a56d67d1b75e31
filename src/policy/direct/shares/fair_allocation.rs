use {
    super::{AccountShare, AccountUsage, RecentAllocations, ShareStatus, fair_level},
    crate::policy::Moment,
    std::{collections::HashMap, time::Duration},
};

/// An account is under its share if it was allocated less than this part of the tokens it
/// requested, and recently less than this part of its fair share.
const UNDER_FRACTION: f32 = 0.5;

/// Factor by which an account may exceed the fair level and still count as within its share.
const TOLERANCE: f32 = 1.05;

/// An account that is recently allocated less than this part of its fair share is not over it,
/// whatever it had before. Otherwise it would be shut out while others are served when the level
/// falls, as replicas are lost or other accounts begin to send requests.
const MIN_RECENT_RATIO: f32 = 0.5;

/// Max-min fair division of the tokens that all replicas produce in a window, among accounts by
/// the tokens that they request.
#[derive(Debug)]
pub struct FairAllocation {
    usage: HashMap<u32, AccountUsage>,
    pub window: Duration,
    pub capacity: f32,   // tokens
    pub fair_level: f32, // tokens that each account may have; infinite if enough for all
}

impl FairAllocation {
    /// Divides `capacity` tokens among accounts with this usage in a window.
    pub fn new(
        window: Duration,
        usage: HashMap<u32, AccountUsage>,
        capacity: f32,
    ) -> Self {
        let requested = usage
            .values()
            .map(|usage| usage.requested.max(usage.allocated));
        Self {
            fair_level: fair_level(requested.collect(), capacity),
            window,
            usage,
            capacity,
        }
    }

    /// The usage of each account.
    pub fn usage(&self) -> impl Iterator<Item = (u32, AccountUsage)> {
        self.usage.iter().map(|(account, usage)| (*account, *usage))
    }

    /// The share of an account whose usage already contains a request of `request_tokens` that
    /// it now sends.
    pub fn share(
        &self,
        now: Moment,
        recent: &RecentAllocations,
        account: u32,
        request_tokens: f32,
    ) -> AccountShare {
        let usage = self.usage.get(&account).copied().unwrap_or_default();
        let recent_ratio = recent.ratio(now, account, usage, self);
        AccountShare {
            status: self.status(usage, recent_ratio, request_tokens),
            usage,
            recent_ratio,
            fair_level: self.fair_level,
            capacity: self.capacity,
        }
    }

    fn status(
        &self,
        usage: AccountUsage,
        recent_ratio: f32,
        request_tokens: f32,
    ) -> ShareStatus {
        let bound = self.fair_level * TOLERANCE;
        if usage.allocated > bound && recent_ratio >= MIN_RECENT_RATIO {
            let factor = (usage.allocated / bound.max(1.0)).max(1.0);
            let wait = self.window.mul_f32(factor.ln());
            return ShareStatus::Over { wait, factor };
        }
        let requested_before = usage.requested - request_tokens;
        let is_under =
            usage.allocated < requested_before * UNDER_FRACTION && recent_ratio < UNDER_FRACTION;
        if is_under {
            ShareStatus::Under
        } else {
            ShareStatus::Within
        }
    }
}
