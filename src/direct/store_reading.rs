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
    lost_ms: AtomicU64, // when it last could not, since the start; 0 if it could since
    answered_ms: AtomicU64, // when the store last answered, since the start; 0 if never
}

impl Default for StoreReading {
    fn default() -> Self {
        Self {
            reading: AtomicBool::new(true),
            lost_ms: AtomicU64::new(0),
            answered_ms: AtomicU64::new(0),
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
        reading: bool,
    ) -> bool {
        self.reading.swap(reading, Ordering::Relaxed) != reading
    }

    /// Notes whether the store answered a call.
    pub fn went(
        &self,
        now: Moment,
        answered: bool,
    ) {
        let at = (now.as_millis() as u64).max(1);
        if answered {
            self.answered_ms.store(at, Ordering::Relaxed);
        }
        let lost = if answered { 0 } else { at };
        self.lost_ms.store(lost, Ordering::Relaxed);
    }

    /// How long ago the store last answered here; none if it never did.
    pub fn answer_age(
        &self,
        now: Moment,
    ) -> Option<Duration> {
        let at = self.answered_ms.load(Ordering::Relaxed);
        (at > 0).then(|| now.saturating_sub(Duration::from_millis(at)))
    }

    /// Whether the store could not be read here of late: others should read it.
    pub fn is_lost(
        &self,
        now: Moment,
    ) -> bool {
        let at = self.lost_ms.load(Ordering::Relaxed);
        at > 0 && (now.as_millis() as u64).saturating_sub(at) <= STORE_LOST.as_millis() as u64
    }
}
