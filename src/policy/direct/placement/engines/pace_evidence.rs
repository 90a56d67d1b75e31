use {
    super::{PaceSum, UsualPace},
    serde::{Deserialize, Serialize},
    std::{
        ops::{AddAssign, SubAssign},
        time::Duration,
    },
};

/// What was seen this long ago counts for a third, in what is believed to last: dozens of
/// first tokens of a busy replica.
const LASTING_FADES: Duration = Duration::from_secs(8);

/// The same in what is believed of the moment: a few of them.
const RECENT_FADES: Duration = Duration::from_millis(700);

/// What was seen of how quick one replica is beside its service's engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PaceEvidence {
    pub lasting: PaceSum,
    pub recent: PaceSum,
}

impl PaceEvidence {
    /// One first token.
    pub fn sample(
        took: Duration,
        expected_ms: f64,
    ) -> Self {
        let sum = PaceSum::sample(took, expected_ms);
        Self {
            lasting: sum,
            recent: sum,
        }
    }

    /// One first token that has not come for some time: it speaks of the moment only, since
    /// it will be counted when it comes.
    pub fn overdue(
        waited: Duration,
        expected_ms: f64,
    ) -> Self {
        Self {
            recent: PaceSum::sample(waited, expected_ms),
            ..Self::default()
        }
    }

    /// Whether first tokens can have shown it.
    pub fn is_possible(self) -> bool {
        self.lasting.is_possible() && self.recent.is_possible()
    }

    /// What is left of it after some time.
    pub fn faded(
        self,
        age: Duration,
    ) -> Self {
        Self {
            lasting: self.lasting.faded(age, LASTING_FADES),
            recent: self.recent.faded(age, RECENT_FADES),
        }
    }

    /// The same beside what a router usually sees of the service.
    pub fn beside(
        self,
        usual: UsualPace,
    ) -> Self {
        Self {
            lasting: self.lasting.beside(usual.lasting),
            recent: self.recent.beside(usual.recent),
        }
    }
}

impl AddAssign for PaceEvidence {
    fn add_assign(
        &mut self,
        other: Self,
    ) {
        self.lasting += other.lasting;
        self.recent += other.recent;
    }
}

impl SubAssign for PaceEvidence {
    fn sub_assign(
        &mut self,
        other: Self,
    ) {
        self.lasting -= other.lasting;
        self.recent -= other.recent;
    }
}
