use {
    super::{Load, ReplicaReport},
    crate::policy::Moment,
    std::{collections::HashMap, time::Duration},
};

/// Load of other routers or zones at one replica. The sum is maintained incrementally,
/// since every placement reads it.
#[derive(Debug, Default)]
pub struct PeerLoads {
    reports: HashMap<u32, PeerReport>, // by name hash of the reporting router or zone
    sum: Load,                         // of the reports that are counted
    ejecting: u32,                     // counted reports in which the replica is ejected
    oldest: Moment,                    // no counted report was received before
}

#[derive(Debug, Clone, Copy)]
struct PeerReport {
    load: Load,
    placed_tokens: u64,
    source_id: u64, // the process whose counter `placed_tokens` is
    is_ejected: bool,
    received: Moment,
    is_counted: bool, // in `PeerLoads::sum`
}

impl PeerLoads {
    /// Sum of the reports that are not older than `age`.
    pub fn load(
        &self,
        now: Moment,
        age: Duration,
    ) -> Load {
        if now.saturating_sub(self.oldest) <= age {
            return self.sum;
        }
        let mut sum = Load::default();
        for report in self.fresh(now, age) {
            sum += report.load;
        }
        sum
    }

    /// Whether the replica is ejected in a report that is not older than `age`.
    pub fn is_ejected(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        self.ejecting > 0 && self.fresh(now, age).any(|report| report.is_ejected)
    }

    /// Replaces the report of the router or zone `name`, counted by the process `source_id`.
    ///
    /// Returns the tokens that it sent there since its previous report; 0 for the first
    /// report of a process, since it is unknown when these tokens were sent.
    pub fn apply_report(
        &mut self,
        now: Moment,
        age: Duration,
        name: u32,
        source_id: u64,
        report: &ReplicaReport,
    ) -> u64 {
        if now.saturating_sub(self.oldest) > age {
            self.recompute_sum(now, age);
        }
        let latest = PeerReport {
            load: report.load,
            placed_tokens: report.placed_tokens,
            source_id,
            is_ejected: report.is_ejected,
            received: now,
            is_counted: true,
        };
        self.sum += latest.load;
        self.ejecting += u32::from(latest.is_ejected);
        let previous = self.reports.insert(name, latest);
        if let Some(previous) = previous.filter(|previous| previous.is_counted) {
            self.sum -= previous.load;
            self.ejecting -= u32::from(previous.is_ejected);
        }
        let same_source = previous.filter(|previous| previous.source_id == source_id);
        same_source.map_or(0, |previous| {
            report.placed_tokens.saturating_sub(previous.placed_tokens)
        })
    }

    fn fresh(
        &self,
        now: Moment,
        age: Duration,
    ) -> impl Iterator<Item = &PeerReport> {
        let reports = self.reports.values();
        reports.filter(move |report| now.saturating_sub(report.received) <= age)
    }

    /// Sums the fresh reports again. Older ones stay as the base of the next
    /// difference in placed tokens.
    fn recompute_sum(
        &mut self,
        now: Moment,
        age: Duration,
    ) {
        self.sum = Load::default();
        self.ejecting = 0;
        self.oldest = now;
        for report in self.reports.values_mut() {
            report.is_counted = now.saturating_sub(report.received) <= age;
            if report.is_counted {
                self.sum += report.load;
                self.ejecting += u32::from(report.is_ejected);
                self.oldest = self.oldest.min(report.received);
            }
        }
    }
}
