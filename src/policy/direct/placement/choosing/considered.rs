use super::candidate::Candidate;

/// Which replicas a request considers first.
#[derive(Debug, Clone, Copy)]
pub enum Considered {
    /// Everything at once.
    All,
    /// Parts of those of the own zone, and of the others.
    Parts { near: f64, far: f64 },
}

/// The order in which candidates are taken; within a tier the cheapest.
#[derive(Debug, Clone, Copy)]
pub enum Tier {
    /// Those considered first: a part of the own zone's; and wherever they are, those
    /// that keep all that the prompt shares with others, and its first home.
    First,
    /// The others of the own zone.
    Near,
    /// Those considered of other zones.
    FarConsidered,
    /// The others of other zones.
    Far,
}

impl Tier {
    /// How many there are.
    pub const COUNT: usize = 4;
}

impl Considered {
    /// The tier of a candidate.
    pub fn tier(
        &self,
        candidate: &Candidate,
        is_near: bool,
    ) -> Tier {
        let Self::Parts { near, far } = *self else {
            return Tier::First;
        };
        let is_first_home = candidate.rank == Some(0);
        if candidate.is_home || is_first_home || (is_near && candidate.scatter < near) {
            Tier::First
        } else if is_near {
            Tier::Near
        } else if candidate.scatter < far {
            Tier::FarConsidered
        } else {
            Tier::Far
        }
    }
}
