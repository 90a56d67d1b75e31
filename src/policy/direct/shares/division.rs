use {
    super::{AccountShare, AccountUsage, GivenLately, Standing, fair_level},
    crate::policy::Moment,
    std::{collections::HashMap, time::Duration},
};

/// An account that got less than this part of what it asked, and is given less than this
/// part of its share now, is behind.
const BEHIND: f32 = 0.5;

/// How far above the level an account may be and still count as within.
const SLACK: f32 = 1.05;

/// An account that is given less than this part of its share now is not over it, whatever
/// it had before: when the level falls, as replicas are lost or other accounts begin to
/// ask, it would be shut out while others are served.
const LEAST_LATELY: f32 = 0.5;

/// What all replicas make in a window, divided among accounts by what they ask.
#[derive(Debug)]
pub struct Division {
    usage: HashMap<u32, AccountUsage>,
    pub window: Duration,
    pub divided: f32, // tokens
    pub level: f32,   // tokens that each account may have; infinite where all get what they ask
}

impl Division {
    /// Divides some tokens among accounts that asked for and got this much in a window.
    pub fn new(
        window: Duration,
        usage: HashMap<u32, AccountUsage>,
        divided: f32,
    ) -> Self {
        let asked = usage.values().map(|usage| usage.asked.max(usage.got));
        Self {
            level: fair_level(asked.collect(), divided),
            window,
            usage,
            divided,
        }
    }

    /// What each account asked for and got.
    pub fn usage(&self) -> impl Iterator<Item = (u32, AccountUsage)> {
        self.usage.iter().map(|(account, usage)| (*account, *usage))
    }

    /// How an account stands that now asks for `asking` tokens, which are counted
    /// as asked already.
    pub fn share(
        &self,
        now: Moment,
        given: &GivenLately,
        account: u32,
        asking: f32,
    ) -> AccountShare {
        let usage = self.usage.get(&account).copied().unwrap_or_default();
        let lately = given.shares(now, account, usage, self);
        AccountShare {
            standing: self.standing(usage, lately, asking),
            usage,
            lately,
            level: self.level,
            divided: self.divided,
        }
    }

    fn standing(
        &self,
        usage: AccountUsage,
        lately: f32,
        asking: f32,
    ) -> Standing {
        let bound = self.level * SLACK;
        if usage.got > bound && lately >= LEAST_LATELY {
            let factor = usage.got / bound.max(1.0);
            let wait = self.window.mul_f32(factor.ln());
            return Standing::Over { wait, factor };
        }
        let asked_before = usage.asked - asking;
        let is_behind = usage.got < asked_before * BEHIND && lately < BEHIND;
        if is_behind {
            Standing::Behind
        } else {
            Standing::Within
        }
    }
}
