use {
    super::{AccountShare, AccountUsage, Standing, fair_level},
    std::{collections::HashMap, time::Duration},
};

/// An account that got less than this part of what it asked, and of the level,
/// is behind.
const BEHIND: f32 = 0.5;

/// How far above the level an account may be and still count as within.
const SLACK: f32 = 1.05;

/// What all replicas make in a window, divided among accounts by what they ask.
#[derive(Debug)]
pub struct Division {
    window: Duration,
    usage: HashMap<u32, AccountUsage>,
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

    /// How an account stands that now asks for `asking` tokens, which are counted
    /// as asked already.
    pub fn share(
        &self,
        account: u32,
        asking: f32,
    ) -> AccountShare {
        let usage = self.usage.get(&account).copied().unwrap_or_default();
        AccountShare {
            standing: self.standing(usage, asking),
            usage,
            level: self.level,
            divided: self.divided,
        }
    }

    /// The accounts that asked of late and how each stands.
    pub fn standings(&self) -> impl Iterator<Item = Standing> {
        self.usage.values().map(|usage| self.standing(*usage, 0.0))
    }

    fn standing(
        &self,
        usage: AccountUsage,
        asking: f32,
    ) -> Standing {
        let bound = self.level * SLACK;
        if usage.got > bound {
            let factor = usage.got / bound.max(1.0);
            let wait = self.window.mul_f32(factor.ln());
            return Standing::Over { wait, factor };
        }
        let asked_before = usage.asked - asking;
        let is_behind = usage.got < asked_before * BEHIND && usage.got < self.level * BEHIND;
        if is_behind {
            Standing::Behind
        } else {
            Standing::Within
        }
    }
}
