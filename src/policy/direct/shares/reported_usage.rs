use {
    super::AccountUsage,
    crate::policy::{Moment, Reporter, ReporterScope},
    std::{collections::HashMap, time::Duration},
};

/// The sum of all reports is computed anew after this long.
const MAX_SUM_AGE: Duration = Duration::from_millis(20);

/// The usage of accounts at other routers and in other zones, as these report it.
#[derive(Debug, Default)]
pub struct ReportedUsage {
    reporters: HashMap<u32, Reported>, // by hash of the router's address or the zone's name
    sum: Option<CachedSum>,
}

/// What one router of this zone, or another zone as a whole, reported.
#[derive(Debug)]
struct Reported {
    scope: ReporterScope,
    usage: HashMap<u32, (Moment, AccountUsage)>, // by account, with the time of the report
}

/// The sum of all reports, as of a moment.
#[derive(Debug)]
struct CachedSum {
    as_of: Moment,
    usage: HashMap<u32, AccountUsage>,
}

impl ReportedUsage {
    /// Applies a report on some accounts, and removes what the same reporter sent more than
    /// `age` ago.
    pub fn apply_report(
        &mut self,
        now: Moment,
        reporter: Reporter,
        usage: &[(u32, AccountUsage)],
        age: Duration,
    ) {
        let reported = self
            .reporters
            .entry(reporter.name)
            .or_insert_with(|| Reported {
                scope: reporter.scope,
                usage: HashMap::new(),
            });
        reported.usage.extend(
            usage
                .iter()
                .map(|(account, usage)| (*account, (now, *usage))),
        );
        reported
            .usage
            .retain(|_, (received, _)| now.saturating_sub(*received) <= age);
    }

    /// Removes all that a router or zone reported, given the hash of its address or name.
    pub fn remove(
        &mut self,
        name: u32,
    ) {
        self.reporters.remove(&name);
        self.sum = None;
    }

    /// The sum of all reports not older than `age`, decayed over `window`. It is computed anew
    /// if older than [`MAX_SUM_AGE`].
    pub fn sum(
        &mut self,
        now: Moment,
        age: Duration,
        window: Duration,
    ) -> &HashMap<u32, AccountUsage> {
        let is_fresh = |sum: &CachedSum| sum.as_of <= now && now - sum.as_of < MAX_SUM_AGE;
        let known = self.sum.take().filter(is_fresh);
        let sum = known.unwrap_or_else(|| CachedSum {
            as_of: now,
            usage: self.sum_of(now, age, window, |_| true),
        });
        &self.sum.insert(sum).usage
    }

    /// The same sum over the reporters of some scopes only, always computed anew.
    pub fn sum_of(
        &self,
        now: Moment,
        age: Duration,
        window: Duration,
        is_included: impl Fn(ReporterScope) -> bool,
    ) -> HashMap<u32, AccountUsage> {
        let mut sum: HashMap<u32, AccountUsage> = HashMap::new();
        let reported = self
            .reporters
            .values()
            .filter(|reported| is_included(reported.scope));
        for (account, (received, usage)) in reported.flat_map(|reported| &reported.usage) {
            let report_age = now.saturating_sub(*received);
            if report_age <= age {
                *sum.entry(*account).or_default() += usage.decayed(report_age, window);
            }
        }
        sum
    }
}
