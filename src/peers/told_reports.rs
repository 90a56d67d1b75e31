use {
    crate::policy::{
        Moment,
        placement::{PartPlacement, ReplicaReport},
        shares::AccountUsage,
    },
    std::{
        collections::{HashMap, HashSet, hash_map::Entry},
        time::Duration,
    },
};

/// An account is told again when its usage differs by more than this part from
/// what peers make of what they were told.
const ACCOUNT_CHANGE: f32 = 0.05;

/// Smaller differences of an account's usage are not worth a report, in tokens.
const ACCOUNT_TOKENS: f32 = 100.0;

/// What this router last told its peers, so that reports carry what changed and,
/// in turn, the rest: a lost datagram is made good by the next turn.
#[derive(Debug, Default)]
pub struct ToldReports {
    replicas: HashMap<u32, (Moment, ReplicaReport)>, // when and what, by replica
    accounts: HashMap<u32, (Moment, AccountUsage)>,  // when and what, by account
    notes: HashMap<PartPlacement, Moment>,
    engines: Option<Moment>,
}

impl ToldReports {
    /// The replicas to tell of: those that changed, and those last told longer
    /// ago than `refresh`.
    pub fn replicas(
        &mut self,
        now: Moment,
        refresh: Duration,
        reports: Vec<ReplicaReport>,
    ) -> Vec<ReplicaReport> {
        let known: HashMap<u32, (Moment, ReplicaReport)> = std::mem::take(&mut self.replicas);
        let mut due = Vec::new();
        for report in reports {
            let told = known.get(&report.start_hash).copied();
            let is_due = told.is_none_or(|(at, told)| told != report || is_old(now, at, refresh));
            let kept = if is_due {
                due.push(report);
                (now, report)
            } else {
                told.unwrap_or((now, report))
            };
            self.replicas.insert(report.start_hash, kept);
        }
        due
    }

    /// The accounts to tell of. Peers let usage fade over `window` themselves, so
    /// that only what was asked or given since is news.
    pub fn accounts(
        &mut self,
        now: Moment,
        refresh: Duration,
        window: Duration,
        usage: &[(u32, AccountUsage)],
    ) -> Vec<(u32, AccountUsage)> {
        let named: HashSet<u32> = usage.iter().map(|(account, _)| *account).collect();
        self.accounts.retain(|account, _| named.contains(account));
        let mut due = Vec::new();
        for (account, usage) in usage {
            let believed = self.accounts.get(account).map(|(at, told)| {
                let age = now.saturating_sub(*at);
                (age, told.faded(age, window))
            });
            let is_due = believed.is_none_or(|(age, believed)| {
                age >= refresh
                    || differs(believed.asked, usage.asked)
                    || differs(believed.got, usage.got)
            });
            if is_due {
                due.push((*account, *usage));
                self.accounts.insert(*account, (now, *usage));
            }
        }
        due
    }

    /// The notes to tell: each again only after `refresh`.
    pub fn notes(
        &mut self,
        now: Moment,
        refresh: Duration,
        notes: Vec<PartPlacement>,
    ) -> Vec<PartPlacement> {
        self.notes.retain(|_, at| !is_old(now, *at, refresh));
        let mut due = Vec::new();
        for note in notes {
            if let Entry::Vacant(vacant) = self.notes.entry(note) {
                vacant.insert(now);
                due.push(note);
            }
        }
        due
    }

    /// Whether it is time to tell of the engines again.
    pub fn engines_due(
        &mut self,
        now: Moment,
        refresh: Duration,
    ) -> bool {
        let due = self.engines.is_none_or(|at| is_old(now, at, refresh));
        if due {
            self.engines = Some(now);
        }
        due
    }
}

fn is_old(
    now: Moment,
    at: Moment,
    refresh: Duration,
) -> bool {
    now.saturating_sub(at) >= refresh
}

fn differs(
    believed: f32,
    actual: f32,
) -> bool {
    (believed - actual).abs() > ACCOUNT_TOKENS.max(actual * ACCOUNT_CHANGE)
}
