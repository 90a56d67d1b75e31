use {
    super::CrashedAttempt,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// How long a request or part is held back after the last crash, by the number of crashes. A
/// harmless one waits no longer than this; a harmful one crashes one replica after each hold.
type HoldTimes = &'static [(usize, Duration)];

const REQUEST_HOLDS: HoldTimes = &[
    (2, Duration::from_secs(15)),
    (3, Duration::from_secs(120)),
    (4, Duration::from_secs(600)),
];

/// The first hold is short: a harmless part that always came with the harmful one, or was not
/// answered between crashes, is soon served again.
const PART_HOLDS: HoldTimes = &[
    (3, Duration::from_secs(3)),
    (4, Duration::from_secs(15)),
    (5, Duration::from_secs(120)),
    (6, Duration::from_secs(600)),
    (7, Duration::from_secs(3600)),
];

/// How long before the crash of one attempt the next may seem to begin and still count as later:
/// crashes are dated late by as long as a report takes from router to router.
const REPORT_DELAY: Duration = Duration::from_millis(100);

/// Crashes of replicas under one part that follow each other faster count once: replicas that
/// lose power together say no more than one.
pub(super) const MIN_CRASH_INTERVAL: Duration = Duration::from_millis(300);

/// What is suspected of crashing replicas.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum SuspectKind {
    /// A whole request, whatever its request id.
    #[default]
    Request,
    /// A part of prompts, which differing requests share.
    Part,
}

impl SuspectKind {
    /// Both kinds.
    pub const ALL: [Self; 2] = [Self::Request, Self::Part];

    /// Its name in logs and on status pages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Part => "part",
        }
    }

    /// The hold after this number of crashes; `None` for too few.
    pub(super) fn hold_time(
        self,
        crashes: usize,
    ) -> Option<Duration> {
        let mut times = self.hold_times().iter();
        let (_, time) = times.rfind(|(least, _)| crashes >= *least)?;
        Some(*time)
    }

    /// The least number of crashes that a hold follows from.
    pub(super) fn least_crashes(self) -> usize {
        self.hold_times()[0].0
    }

    /// How long others wait for the outcome of a trial after a hold.
    pub(super) fn trial_time(self) -> Duration {
        match self {
            Self::Request => Duration::from_secs(10),
            Self::Part => Duration::from_secs(4),
        }
    }

    /// Whether a crash is another one than the one counted before it, and not one that only
    /// happened together with it.
    pub(super) fn is_separate(
        self,
        previous: &CrashedAttempt,
        crash: &CrashedAttempt,
    ) -> bool {
        match self {
            Self::Request => crash.started_at.plus(REPORT_DELAY) >= previous.crashed_at,
            Self::Part => crash.crashed_at >= previous.crashed_at.plus(MIN_CRASH_INTERVAL),
        }
    }

    fn hold_times(self) -> HoldTimes {
        match self {
            Self::Request => REQUEST_HOLDS,
            Self::Part => PART_HOLDS,
        }
    }
}
