use {
    super::SeenPace,
    crate::policy::{
        Moment,
        placement::{PauseEvidence, ReplicaEvidence},
    },
    std::{collections::HashMap, time::Duration},
};

/// What was seen of pauses this long ago counts for a third: some turns of a replica's load.
const PAUSES_FADE: Duration = Duration::from_secs(10);

/// What fellows told longer ago than this counts no more.
const TOLD_AGE: Duration = Duration::from_secs(3);

/// What this router and the others of its zone have seen of how one start of a replica
/// works.
#[derive(Debug, Default)]
pub struct SeenWork {
    pub pace: SeenPace,
    pauses: PauseEvidence,
    faded: Moment,
    told: HashMap<u32, (Moment, PauseEvidence)>, // by who told
}

impl SeenWork {
    /// This router saw more of its pauses.
    pub fn see_pauses(
        &mut self,
        now: Moment,
        pauses: PauseEvidence,
    ) {
        self.pauses = self.own_pauses(now);
        self.pauses += pauses;
        self.faded = now;
    }

    /// What this router itself has seen of the replica's start, for its fellows.
    pub fn own(
        &self,
        now: Moment,
        start: u32,
    ) -> ReplicaEvidence {
        ReplicaEvidence {
            start,
            pace: self.pace.own(now),
            pauses: self.own_pauses(now),
        }
    }

    /// A fellow told what it has seen; that takes the place of what it told before.
    pub fn hear(
        &mut self,
        now: Moment,
        teller: u32,
        told: ReplicaEvidence,
    ) {
        self.pace.hear(now, teller, told.pace);
        self.told.insert(teller, (now, told.pauses));
        self.told
            .retain(|_, (heard, _)| now.saturating_sub(*heard) <= TOLD_AGE);
    }

    /// What all of them have seen of its pauses.
    pub fn pauses(
        &self,
        now: Moment,
    ) -> PauseEvidence {
        let mut sum = self.own_pauses(now);
        for (age, told) in self.recent(now) {
            sum += told.faded(age, PAUSES_FADE);
        }
        sum
    }

    fn recent(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (Duration, PauseEvidence)> {
        let told = self.told.values();
        let aged = told.map(move |(heard, told)| (now.saturating_sub(*heard), *told));
        aged.filter(|(age, _)| *age <= TOLD_AGE)
    }

    fn own_pauses(
        &self,
        now: Moment,
    ) -> PauseEvidence {
        let age = now.saturating_sub(self.faded);
        self.pauses.faded(age, PAUSES_FADE)
    }
}
