use {
    super::AccountUsage,
    crate::policy::{Moment, Teller, TellerScope},
    std::{collections::HashMap, time::Duration},
};

/// What others told is summed up anew after this long.
const SUM_AGE: Duration = Duration::from_millis(20);

/// What accounts asked for and got at others, as these told.
#[derive(Debug, Default)]
pub struct ToldUsage {
    tellers: HashMap<u32, Told>, // by name
    sum: Option<ToldSum>,
}

/// What one router of the own zone told, or another zone as a whole.
#[derive(Debug)]
struct Told {
    scope: TellerScope,
    usage: HashMap<u32, (Moment, AccountUsage)>, // by account
}

/// What all of them told, summed, as of a moment.
#[derive(Debug)]
struct ToldSum {
    made: Moment,
    usage: HashMap<u32, AccountUsage>,
}

impl ToldUsage {
    /// Takes in what one told of some accounts. What it told earlier than `age` ago is gone.
    pub fn hear(
        &mut self,
        now: Moment,
        teller: Teller,
        usage: &[(u32, AccountUsage)],
        age: Duration,
    ) {
        let told = self.tellers.entry(teller.name).or_insert_with(|| Told {
            scope: teller.scope,
            usage: HashMap::new(),
        });
        told.usage.extend(
            usage
                .iter()
                .map(|(account, usage)| (*account, (now, *usage))),
        );
        told.usage
            .retain(|_, (heard, _)| now.saturating_sub(*heard) <= age);
    }

    /// Who told this is gone.
    pub fn forget(
        &mut self,
        name: u32,
    ) {
        self.tellers.remove(&name);
        self.sum = None;
    }

    /// What all told within `age`, faded over `window`, summed not longer ago than
    /// [`SUM_AGE`].
    pub fn sum(
        &mut self,
        now: Moment,
        age: Duration,
        window: Duration,
    ) -> &HashMap<u32, AccountUsage> {
        let is_fresh = |sum: &ToldSum| sum.made <= now && now - sum.made < SUM_AGE;
        let known = self.sum.take().filter(is_fresh);
        let sum = known.unwrap_or_else(|| ToldSum {
            made: now,
            usage: self.sum_of(now, age, window, |_| true),
        });
        &self.sum.insert(sum).usage
    }

    /// The same of some tellers only, summed now.
    pub fn sum_of(
        &self,
        now: Moment,
        age: Duration,
        window: Duration,
        counts: impl Fn(TellerScope) -> bool,
    ) -> HashMap<u32, AccountUsage> {
        let mut sum: HashMap<u32, AccountUsage> = HashMap::new();
        let tellers = self.tellers.values().filter(|told| counts(told.scope));
        for (account, (heard, usage)) in tellers.flat_map(|told| &told.usage) {
            let heard_ago = now.saturating_sub(*heard);
            if heard_ago <= age {
                *sum.entry(*account).or_default() += usage.faded(heard_ago, window);
            }
        }
        sum
    }
}
