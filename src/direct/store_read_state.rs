use {
    crate::policy::Moment,
    std::{
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
        time::Duration,
    },
};

/// After a failed read of the store, another router of the zone should read it for this long.
const STORE_FAILURE_PERIOD: Duration = Duration::from_secs(10);

/// Time within which a store that is well answers a process for the first time, many times over.
const FIRST_ANSWER_LIMIT: Duration = Duration::from_millis(300);

/// Whether this router reads the store, and when the store last answered or failed.
pub struct StoreReadState {
    is_reading: AtomicBool,
    started: AtomicMoment,  // when this router last started to read
    answered: AtomicMoment, // when the store last answered
    failed: AtomicMoment,   // when a call last failed; unset by an answer
}

impl Default for StoreReadState {
    fn default() -> Self {
        Self {
            is_reading: AtomicBool::new(true),
            started: AtomicMoment::default(),
            answered: AtomicMoment::default(),
            failed: AtomicMoment::default(),
        }
    }
}

impl StoreReadState {
    /// Whether this router reads the store.
    pub fn is_reader(&self) -> bool {
        self.is_reading.load(Ordering::Relaxed)
    }

    /// Sets whether this router reads the store. Returns whether that changed.
    pub fn set_reader(
        &self,
        now: Moment,
        reading: bool,
    ) -> bool {
        let has_changed = self.is_reading.swap(reading, Ordering::Relaxed) != reading;
        if has_changed && reading {
            self.started.set(now);
        }
        has_changed
    }

    /// Records whether the store answered a call.
    pub fn record_call(
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

    /// Time since the store last answered this router; `None` if it never did.
    pub fn answer_age(
        &self,
        now: Moment,
    ) -> Option<Duration> {
        self.answered.age(now)
    }

    /// Whether the store has answered this router and the last call did not fail.
    pub fn is_answering(&self) -> bool {
        self.answered.is_set() && !self.failed.is_set()
    }

    /// Whether the store has yet to answer this router for the first time, which reads it: what
    /// it knows it has from peers, and they may not have noticed yet that the store is silent.
    pub fn is_awaiting_first_answer(&self) -> bool {
        self.is_reader() && !self.answered.is_set()
    }

    /// Whether another router should read the store: a call failed in the last
    /// `STORE_FAILURE_PERIOD`, or no answer came for longer than `apply`, also if a call is
    /// still in progress. Before the first answer the limit is `FIRST_ANSWER_LIMIT`.
    pub fn is_unavailable(
        &self,
        now: Moment,
        apply: Duration,
    ) -> bool {
        let failed = self
            .failed
            .age(now)
            .is_some_and(|age| age <= STORE_FAILURE_PERIOD);
        let reading_for = self.started.age(now).unwrap_or(now);
        let silent = self.answer_age(now).unwrap_or(now).min(reading_for);
        let limit = match self.is_awaiting_first_answer() {
            true => apply.min(FIRST_ANSWER_LIMIT),
            false => apply,
        };
        failed || (self.is_reader() && silent > limit)
    }
}

/// An optional moment in milliseconds since process start; 0 if unset.
#[derive(Default)]
struct AtomicMoment(AtomicU64);

impl AtomicMoment {
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
