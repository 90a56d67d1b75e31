use {
    crate::policy::{Moment, PauseDetector},
    std::time::Duration,
};

/// What is heard this soon after a standstill may have waited for the process since before
/// its end: some five reports of another router.
const MAY_BE_OLD: Duration = Duration::from_millis(50);

/// A process that hears of nobody goes by what it knows again after this long: with the
/// store and all others gone, nobody has anything newer.
const LONGEST: Duration = Duration::from_millis(1000);

/// Notices that the process stood still, frozen, stopped or suspended with its machine,
/// and that what it knows has to be confirmed before it is gone by.
#[derive(Debug, Clone, Copy)]
pub struct Standstill {
    detector: PauseDetector,
    unconfirmed: Option<Moment>, // since the end of the standstill
}

impl Standstill {
    /// A process that starts now and does not stand still for longer than `limit`.
    pub fn new(
        limit: Duration,
        now: Moment,
    ) -> Self {
        Self {
            detector: PauseDetector::new(limit, now),
            unconfirmed: None,
        }
    }

    /// To be called far more often than the limit, and before anything is gone by: how
    /// long the process stood still, if it just did.
    pub fn look(
        &mut self,
        now: Moment,
    ) -> Option<Duration> {
        let pause = self.detector.tick(now);
        if pause.is_some() {
            self.unconfirmed = Some(now);
        }
        pause
    }

    /// Another process, or the store, has nothing newer than this one.
    pub fn confirm(
        &mut self,
        now: Moment,
    ) {
        let since = self.unconfirmed.map(|since| now.saturating_sub(since));
        if since.is_some_and(|since| since >= MAY_BE_OLD) {
            self.unconfirmed = None;
        }
    }

    /// Whether what is known has to be confirmed first.
    pub fn is_unconfirmed(
        &self,
        now: Moment,
    ) -> bool {
        let since = self.unconfirmed.map(|since| now.saturating_sub(since));
        since.is_some_and(|since| since < LONGEST)
    }
}
