use {
    crate::policy::{
        Moment,
        placement::{PaceEvidence, UsualPace},
    },
    std::{collections::HashMap, time::Duration},
};

/// What fellows told longer ago than this counts no more; it fades before.
const TOLD_AGE: Duration = Duration::from_secs(8);

/// What this router and the others of its zone have seen of the pace of one start of a
/// replica. Sums are kept: they are asked for often, and there may be many fellows.
#[derive(Debug, Default)]
pub struct SeenPace {
    own: PaceEvidence, // as of `faded`
    faded: Moment,
    overdue: PaceEvidence, // of first tokens that have not come, as of the last look
    told: HashMap<u32, (Moment, PaceEvidence)>, // by who told
    told_sum: PaceEvidence, // as of `summed`
    summed: Moment,
    oldest: Moment, // nothing told that counts was heard before
}

impl SeenPace {
    /// This router saw more.
    pub fn see(
        &mut self,
        now: Moment,
        seen: PaceEvidence,
    ) {
        self.own = self.own.faded(now.saturating_sub(self.faded));
        self.own += seen;
        self.faded = self.faded.max(now);
    }

    /// What is overdue now, in place of what was.
    pub fn set_overdue(
        &mut self,
        overdue: PaceEvidence,
    ) {
        self.overdue = overdue;
    }

    /// What this router itself has seen.
    pub fn own(
        &self,
        now: Moment,
    ) -> PaceEvidence {
        let mut sum = self.own.faded(now.saturating_sub(self.faded));
        sum += self.overdue;
        sum
    }

    /// A fellow told what it has seen beside what it usually sees; that takes the place of
    /// what it told before.
    pub fn hear(
        &mut self,
        now: Moment,
        teller: u32,
        told: PaceEvidence,
    ) {
        self.told_sum = self.told_sum.faded(now.saturating_sub(self.summed));
        self.summed = now;
        if self.told.is_empty() {
            self.oldest = now;
        }
        self.told_sum += told;
        if let Some((heard, before)) = self.told.insert(teller, (now, told)) {
            self.told_sum -= before.faded(now.saturating_sub(heard));
        }
    }

    /// Forgets what was told too long ago.
    pub fn forget_old(
        &mut self,
        now: Moment,
    ) {
        if self.told.is_empty() || now.saturating_sub(self.oldest) <= TOLD_AGE {
            return;
        }
        self.told
            .retain(|_, (heard, _)| now.saturating_sub(*heard) <= TOLD_AGE);
        self.told_sum = PaceEvidence::default();
        self.summed = now;
        self.oldest = now;
        for (heard, told) in self.told.values() {
            self.told_sum += told.faded(now.saturating_sub(*heard));
            self.oldest = self.oldest.min(*heard);
        }
    }

    /// What all of them have seen, beside what each usually sees.
    pub fn all(
        &self,
        now: Moment,
        usual: UsualPace,
    ) -> PaceEvidence {
        let mut sum = self.own(now).beside(usual);
        sum += self.told_sum.faded(now.saturating_sub(self.summed));
        sum
    }
}
