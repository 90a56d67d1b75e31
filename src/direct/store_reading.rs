use {
    crate::policy::Moment,
    std::{
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
        time::Duration,
    },
};

/// A router that could not read the store leaves that to others of its zone for this
/// long.
const STORE_LOST: Duration = Duration::from_secs(10);

/// Whether this router reads the store for its zone, and how that goes.
pub struct StoreReading {
    reading: AtomicBool,
    begun: Mark,    // when it last began to read
    answered: Mark, // when the store last answered
    failed: Mark,   // when it last did not; never if it did since
}

impl Default for StoreReading {
    fn default() -> Self {
        Self {
            reading: AtomicBool::new(true),
            begun: Mark::default(),
            answered: Mark::default(),
            failed: Mark::default(),
        }
    }
}

impl StoreReading {
    /// Whether this router reads.
    pub fn is_own(&self) -> bool {
        self.reading.load(Ordering::Relaxed)
    }

    /// Notes whether it does. Whether that is new.
    pub fn set_own(
        &self,
        now: Moment,
        reading: bool,
    ) -> bool {
        let is_new = self.reading.swap(reading, Ordering::Relaxed) != reading;
        if is_new && reading {
            self.begun.set(now);
        }
        is_new
    }

    /// Notes whether the store answered a call.
    pub fn went(
        &self,
        now: Moment,
        answered: bool,
    ) {
        if answered {
            self.answered.set(now);
            self.failed.clear();
        } else {
            self.failed.set(now);
        }
    }

    /// How long ago the store last answered here; none if it never did.
    pub fn answer_age(
        &self,
        now: Moment,
    ) -> Option<Duration> {
        self.answered.age(now)
    }

    /// Whether the store answers here: it has, and the last call to it did not fail.
    pub fn is_answered(&self) -> bool {
        self.answered.is_set() && !self.failed.is_set()
    }

    /// Whether others should read the store: it could not be read here of late, or
    /// has been silent for longer than `apply`, whatever became of the call.
    pub fn is_lost(
        &self,
        now: Moment,
        apply: Duration,
    ) -> bool {
        let failed = self.failed.age(now).is_some_and(|age| age <= STORE_LOST);
        let since = self.begun.age(now).unwrap_or(now);
        let silent = self.answer_age(now).unwrap_or(now).min(since);
        failed || (self.is_own() && silent > apply)
    }
}

/// A moment that may not have been yet, in milliseconds since the start; 0 is never.
#[derive(Default)]
struct Mark(AtomicU64);

impl Mark {
    fn set(
        &self,
        now: Moment,
    ) {
        let at = (now.as_millis() as u64).max(1);
        self.0.store(at, Ordering::Relaxed);
    }

    fn clear(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }

    fn age(
        &self,
        now: Moment,
    ) -> Option<Duration> {
        let at = self.0.load(Ordering::Relaxed);
        (at > 0).then(|| now.saturating_sub(Duration::from_millis(at)))
    }
}
