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

/// Relative difference between an account's usage and what peers assume of it, above which
/// the account is sent again.
const MAX_USAGE_ERROR: f32 = 0.05;

/// Differences of an account's usage up to this many tokens are ignored.
const MIN_USAGE_ERROR_TOKENS: f32 = 100.0;

/// What was last sent to a group of peers. Reports carry only what changed since; everything
/// else is sent again at intervals, which makes up for lost datagrams.
#[derive(Debug, Default)]
pub struct SentReports {
    replicas: HashMap<u32, (Moment, ReplicaReport)>, // when and what, by replica
    accounts: HashMap<u32, (Moment, AccountUsage)>,  // when and what, by account
    placements: HashMap<PartPlacement, Moment>,      // when each was sent
    latency_reports: Option<Moment>,                 // when they were sent
}

impl SentReports {
    /// The replica reports to send: those that changed, and those last sent at least
    /// `refresh` ago.
    pub fn due_replicas(
        &mut self,
        now: Moment,
        refresh: Duration,
        reports: Vec<ReplicaReport>,
    ) -> Vec<ReplicaReport> {
        let known: HashMap<u32, (Moment, ReplicaReport)> = std::mem::take(&mut self.replicas);
        let mut due = Vec::new();
        for report in reports {
            let sent = known.get(&report.start_hash).copied();
            let is_due = sent.is_none_or(|(at, sent)| sent != report || is_old(now, at, refresh));
            let last_sent = if is_due {
                due.push(report);
                (now, report)
            } else {
                sent.unwrap_or((now, report))
            };
            self.replicas.insert(report.start_hash, last_sent);
        }
        due
    }

    /// The account usage to send. Peers decay what they received over `window` by
    /// themselves, so that an account whose usage only decays is not sent before `refresh`.
    pub fn due_accounts(
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
            let assumed = self.accounts.get(account).map(|(at, sent)| {
                let age = now.saturating_sub(*at);
                (age, sent.decayed(age, window))
            });
            let is_due = assumed.is_none_or(|(age, assumed)| {
                age >= refresh
                    || differs(assumed.requested, usage.requested)
                    || differs(assumed.allocated, usage.allocated)
            });
            if is_due {
                due.push((*account, *usage));
                self.accounts.insert(*account, (now, *usage));
            }
        }
        due
    }

    /// The placements of prompt parts to send, without those sent less than `refresh` ago.
    pub fn due_placements(
        &mut self,
        now: Moment,
        refresh: Duration,
        placements: Vec<PartPlacement>,
    ) -> Vec<PartPlacement> {
        self.placements.retain(|_, at| !is_old(now, *at, refresh));
        let mut due = Vec::new();
        for placement in placements {
            if let Entry::Vacant(vacant) = self.placements.entry(placement) {
                vacant.insert(now);
                due.push(placement);
            }
        }
        due
    }

    /// Whether latency reports of engines are to be sent now, and records that they are.
    pub fn latency_reports_due(
        &mut self,
        now: Moment,
        refresh: Duration,
    ) -> bool {
        let due = self
            .latency_reports
            .is_none_or(|at| is_old(now, at, refresh));
        if due {
            self.latency_reports = Some(now);
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
    assumed: f32,
    actual: f32,
) -> bool {
    (assumed - actual).abs() > MIN_USAGE_ERROR_TOKENS.max(actual * MAX_USAGE_ERROR)
}
