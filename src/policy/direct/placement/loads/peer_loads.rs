use {
    super::{Load, ReplicaReport},
    crate::policy::Moment,
    std::{collections::HashMap, time::Duration},
};

/// What others have at one replica, with its sum kept: it is asked for with
/// every request.
#[derive(Debug, Default)]
pub struct PeerLoads {
    reports: HashMap<u32, PeerReport>, // by who told
    counted: Load,                     // the sum of those that count
    avoiding: u32,                     // of these, how many let the replica rest
    oldest: Moment,                    // none that counts was heard of before
}

#[derive(Debug, Clone, Copy)]
struct PeerReport {
    load: Load,
    placed: u64,
    source: u64,  // the process that counted what was placed
    avoids: bool, // it lets the replica rest
    heard: Moment,
    counts: bool, // until it is old
}

impl PeerLoads {
    /// What all of them have there, as far as heard of within `age`.
    pub fn load(
        &self,
        now: Moment,
        age: Duration,
    ) -> Load {
        if now.saturating_sub(self.oldest) <= age {
            return self.counted;
        }
        let mut sum = Load::default();
        for report in self.fresh(now, age) {
            sum += report.load;
        }
        sum
    }

    /// Whether one of them lets the replica rest.
    pub fn is_avoided(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        self.avoiding > 0 && self.fresh(now, age).any(|report| report.avoids)
    }

    /// Takes a report in, counted by the process `source`. Gives the tokens that
    /// were sent there since its last one: none at its first one, since when they
    /// were sent is unknown.
    pub fn hear(
        &mut self,
        now: Moment,
        age: Duration,
        name: u32,
        source: u64,
        report: &ReplicaReport,
    ) -> u64 {
        if now.saturating_sub(self.oldest) > age {
            self.leave_out_old(now, age);
        }
        let told = PeerReport {
            load: report.load,
            placed: report.placed,
            source,
            avoids: report.rests,
            heard: now,
            counts: true,
        };
        self.counted += told.load;
        self.avoiding += u32::from(told.avoids);
        let before = self.reports.insert(name, told);
        if let Some(before) = before.filter(|before| before.counts) {
            self.counted -= before.load;
            self.avoiding -= u32::from(before.avoids);
        }
        let known = before.filter(|before| before.source == source);
        known.map_or(0, |before| report.placed.saturating_sub(before.placed))
    }

    fn fresh(
        &self,
        now: Moment,
        age: Duration,
    ) -> impl Iterator<Item = &PeerReport> {
        let reports = self.reports.values();
        reports.filter(move |report| now.saturating_sub(report.heard) <= age)
    }

    /// Counts anew. Old reports stay known, for how much had been placed.
    fn leave_out_old(
        &mut self,
        now: Moment,
        age: Duration,
    ) {
        self.counted = Load::default();
        self.avoiding = 0;
        self.oldest = now;
        for report in self.reports.values_mut() {
            report.counts = now.saturating_sub(report.heard) <= age;
            if report.counts {
                self.counted += report.load;
                self.avoiding += u32::from(report.avoids);
                self.oldest = self.oldest.min(report.heard);
            }
        }
    }
}
