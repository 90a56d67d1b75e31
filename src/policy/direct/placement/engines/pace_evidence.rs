use {
    super::{BaselinePace, PaceSum},
    serde::{Deserialize, Serialize},
    std::{
        ops::{AddAssign, SubAssign},
        time::Duration,
    },
};

/// Time constant of the decay of samples of the lasting pace. It spans dozens of first tokens
/// of a busy replica.
const LASTING_DECAY: Duration = Duration::from_secs(8);

/// The same for the recent pace. It spans a few first tokens.
const RECENT_DECAY: Duration = Duration::from_millis(700);

/// Observed pace of one replica: the time that it takes relative to the time that its
/// service's engines take on average.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PaceEvidence {
    pub lasting: PaceSum, // decays slowly
    pub recent: PaceSum,  // decays quickly
}

impl PaceEvidence {
    /// The sample of one first token.
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

    /// The sample of a first token that is overdue. It counts for the recent pace only, since
    /// the token is counted again when it arrives.
    pub fn overdue(
        waited: Duration,
        expected_ms: f64,
    ) -> Self {
        Self {
            recent: PaceSum::sample(waited, expected_ms),
            ..Self::default()
        }
    }

    /// Whether the sums lie within bounds that real samples cannot exceed.
    pub fn is_possible(self) -> bool {
        self.lasting.is_possible() && self.recent.is_possible()
    }

    /// The sums after decay over `age`.
    pub fn decayed(
        self,
        age: Duration,
    ) -> Self {
        Self {
            lasting: self.lasting.decayed(age, LASTING_DECAY),
            recent: self.recent.decayed(age, RECENT_DECAY),
        }
    }

    /// The same relative to the mean pace that a router observes of the service.
    pub fn relative_to(
        self,
        baseline: BaselinePace,
    ) -> Self {
        Self {
            lasting: self.lasting.relative_to(baseline.lasting),
            recent: self.recent.relative_to(baseline.recent),
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
