use {
    super::{Load, ReplicaReport},
    crate::policy::Moment,
    std::{collections::HashMap, time::Duration},
};

/// What the other routers have at one replica, with its sum kept: it is asked
/// for with every request, and there may be hundreds of routers.
#[derive(Debug, Default)]
pub struct PeerLoads {
    reports: HashMap<u32, PeerReport>, // by peer
    counted: Load,                     // the sum of those that count
    avoiding: u32,                     // of these, how many let the replica rest
    oldest: Moment,                    // none that counts was heard of before
}

#[derive(Debug, Clone, Copy)]
struct PeerReport {
    load: Load,
    placed: u64,
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

    /// Takes a report in. Gives the tokens that the peer sent there since its
    /// last one.
    pub fn hear(
        &mut self,
        now: Moment,
        age: Duration,
        peer: u32,
        report: &ReplicaReport,
    ) -> u64 {
        if now.saturating_sub(self.oldest) > age {
            self.leave_out_old(now, age);
        }
        let told = PeerReport {
            load: report.load,
            placed: report.placed,
            avoids: report.rests,
            heard: now,
            counts: true,
        };
        self.counted += told.load;
        self.avoiding += u32::from(told.avoids);
        let before = self.reports.insert(peer, told);
        if let Some(before) = before.filter(|before| before.counts) {
            self.counted -= before.load;
            self.avoiding -= u32::from(before.avoids);
        }
        // A router that started anew counts from zero.
        let known = before.map_or(0, |before| before.placed);
        report.placed.checked_sub(known).unwrap_or(report.placed)
    }

    fn fresh(
        &self,
        now: Moment,
        age: Duration,
    ) -> impl Iterator<Item = &PeerReport> {
        let reports = self.reports.values();
        reports.filter(move |report| now.saturating_sub(report.heard) <= age)
    }

    /// Counts anew. Old reports stay known, for how much their peers had placed.
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
