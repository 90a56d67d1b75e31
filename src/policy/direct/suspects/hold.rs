use {super::SignedMoment, crate::policy::Moment, std::time::Duration};

/// How long a request is held back after the last crash of a replica that was running it, by the
/// number of such crashes. A harmless request waits no longer than this; a harmful one crashes
/// one replica after each hold, where without holds one crashed 21 replicas in 16 s.
const HOLD_TIMES: [(usize, Duration); 3] = [
    (2, Duration::from_secs(15)),
    (3, Duration::from_secs(120)),
    (4, Duration::from_secs(600)),
];

/// After a hold each router lets the request through once. Requests with the same digest wait
/// until that trial has ended, or for this long.
const TRIAL_TIME: Duration = Duration::from_secs(10);

/// Why, since when and until when a request is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    pub crashes: usize, // replicas that crashed while running it, one after the other
    pub since: SignedMoment, // the last crash
    pub until: SignedMoment,
}

impl Hold {
    /// The hold after this many crashes, the last of them at `since`; `None` for too few.
    pub fn after(
        crashes: usize,
        since: SignedMoment,
    ) -> Option<Self> {
        let (_, time) = HOLD_TIMES
            .into_iter()
            .rfind(|(least, _)| crashes >= *least)?;
        Some(Self {
            crashes,
            since,
            until: since.plus(time),
        })
    }

    /// The remaining time of the hold, or of the trial that was let through at `trial` after
    /// it. `None` if the request may be tried.
    pub fn remaining(
        &self,
        now: Moment,
        trial: Option<Moment>,
    ) -> Option<Duration> {
        let trial = trial.map(|at| SignedMoment::from(at).plus(TRIAL_TIME));
        let until = trial.map_or(self.until, |trial| trial.max(self.until));
        let remaining = until.remaining(now);
        (!remaining.is_zero()).then_some(remaining)
    }
}
