use {super::ToldMoment, crate::policy::Moment, std::time::Duration};

/// How long a request is held back after the last replica that ended under it, by how many
/// did. A request that is innocent and unlucky waits no longer; one that is not ends one
/// replica after each, where nothing held it back ended 21 in 16 s.
const HOLDS: [(usize, Duration); 3] = [
    (2, Duration::from_secs(15)),
    (3, Duration::from_secs(120)),
    (4, Duration::from_secs(600)),
];

/// After a hold the request is tried once by each router; until that try has ended, or
/// for this long, others like it wait.
const TRIAL: Duration = Duration::from_secs(10);

/// Why, since when and until when a request is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    pub ends: usize, // replicas that ended under it, one after the other
    pub since: ToldMoment,
    pub until: ToldMoment,
}

impl Hold {
    /// The hold for so many ends, of which the last was at `since`; none for few.
    pub fn after(
        ends: usize,
        since: ToldMoment,
    ) -> Option<Self> {
        let (_, time) = HOLDS.into_iter().rfind(|(least, _)| ends >= *least)?;
        Some(Self {
            ends,
            since,
            until: since.plus(time),
        })
    }

    /// What is left of it while `trial` is under way: when the request was last let
    /// through after it. None if it may be tried.
    pub fn left(
        &self,
        now: Moment,
        trial: Option<Moment>,
    ) -> Option<Duration> {
        let trial = trial.map(|at| ToldMoment::from(at).plus(TRIAL));
        let until = trial.map_or(self.until, |trial| trial.max(self.until));
        let left = until.left(now);
        (!left.is_zero()).then_some(left)
    }
}
